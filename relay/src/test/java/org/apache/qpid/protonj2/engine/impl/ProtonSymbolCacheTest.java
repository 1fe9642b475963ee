package org.apache.qpid.protonj2.engine.impl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.apache.qpid.protonj2.types.Symbol;
import org.junit.jupiter.api.Test;

/** Guards against a remote side that exhausts the memory with ever new symbols. */
class ProtonSymbolCacheTest {
    @Test
    void cacheStaysBoundedAndSymbolsStayEqual() {
        Symbol early = Symbol.valueOf("early");
        for (int i = 0; i < 10 * ProtonSymbolCache.MAX_SYMBOLS; i++) {
            Symbol.valueOf("symbol-" + i);
            ProtonSymbolCache.trim();
        }
        assertTrue(
                ProtonSymbolCache.size() <= 2 * ProtonSymbolCache.MAX_SYMBOLS,
                "kept " + ProtonSymbolCache.size());
        assertEquals(early, Symbol.valueOf("early"));
        assertEquals(early.hashCode(), Symbol.valueOf("early").hashCode());
    }
}
