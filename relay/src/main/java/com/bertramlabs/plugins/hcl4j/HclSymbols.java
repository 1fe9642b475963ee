package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * The symbols that hcl4j's lexer reads, with their positions. The lexer is visible to its own
 * package only, and the library's public parser evaluates what it reads and forgets where it stood.
 */
public final class HclSymbols {
    private HclSymbols() {}

    /** The attributes and blocks of the file's top level. */
    public static List<Symbol> read(Reader text) throws IOException, HCLParserException {
        HCLLexer lexer = new HCLLexer(text);
        while (lexer.yylex() != null) { // the lexer itself gathers what it reads
            continue;
        }
        return List.copyOf(lexer.elementStack);
    }
}
