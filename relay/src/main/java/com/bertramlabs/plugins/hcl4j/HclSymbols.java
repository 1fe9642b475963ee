package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.Reader;
import java.util.List;

/**
 * Reads an HCL file's symbols with their positions, using the lexer of hcl4j. This class is in the
 * package of hcl4j because the lexer is package-private, and the public parser evaluates the file
 * without keeping positions.
 */
public final class HclSymbols {
    private HclSymbols() {}

    /** Returns the attributes and blocks at the top level of the file. */
    public static List<Symbol> read(Reader text) throws IOException, HCLParserException {
        HCLLexer lexer = new HCLLexer(text);
        while (lexer.yylex() != null) { // the lexer collects the symbols itself
            continue;
        }
        return List.copyOf(lexer.elementStack);
    }
}
