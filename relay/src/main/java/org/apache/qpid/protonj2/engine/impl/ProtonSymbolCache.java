package org.apache.qpid.protonj2.engine.impl;

import java.lang.reflect.Field;
import java.util.Map;
import org.apache.qpid.protonj2.types.Symbol;

/**
 * Bounds the symbols that protonj2 1.0.0 keeps. It keeps each symbol of up to 64 characters that it
 * has ever decoded or created, so that a remote side which sends ever new ones would exhaust the
 * memory. The caches only save work: symbols are compared by their contents.
 */
public final class ProtonSymbolCache {
    /** More than remote sides use in service. */
    static final int MAX_SYMBOLS = 8_192;

    private static final Map<?, ?> DECODED_SYMBOLS = cache("bufferToSymbols");
    private static final Map<?, ?> CREATED_SYMBOLS = cache("stringToSymbols");

    private ProtonSymbolCache() {}

    private static Map<?, ?> cache(String name) {
        try {
            Field field = Symbol.class.getDeclaredField(name);
            field.setAccessible(true);
            return (Map<?, ?>) field.get(null);
        } catch (ReflectiveOperationException changedLibrary) {
            throw new IllegalStateException(
                    "this version of protonj2 has no " + name, changedLibrary);
        }
    }

    /** Empties a cache that has grown beyond the limit; to be called after frames were decoded. */
    public static void trim() {
        trim(DECODED_SYMBOLS);
        trim(CREATED_SYMBOLS);
    }

    private static void trim(Map<?, ?> cache) {
        if (cache.size() > MAX_SYMBOLS) {
            cache.clear();
        }
    }

    /** Returns the number of symbols that are kept at present. */
    static int size() {
        return DECODED_SYMBOLS.size() + CREATED_SYMBOLS.size();
    }
}
