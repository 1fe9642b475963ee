package saltstage.config;

import com.bertramlabs.plugins.hcl4j.HCLParserException;
import com.bertramlabs.plugins.hcl4j.HclSymbols;
import com.bertramlabs.plugins.hcl4j.symbols.HCLArray;
import com.bertramlabs.plugins.hcl4j.symbols.HCLAttribute;
import com.bertramlabs.plugins.hcl4j.symbols.HCLBlock;
import com.bertramlabs.plugins.hcl4j.symbols.HCLValue;
import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.StreamTokenizer;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltstage.wire.MalformedException;

/**
 * Parses an operator's HCL file into {@link HclBlock}s. The parser library hcl4j silently drops
 * what it cannot place: a block that is never closed, stray words, a lone brace. Therefore every
 * token of the file is compared with the library's result, and the first token that is missing
 * there is rejected with its line. Only plain values are accepted: no functions, variables,
 * templates or here-documents.
 */
public final class HclFile {
    private static final Pattern LINE_NUMBER = Pattern.compile("line: (\\d+)");
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z_][A-Za-z0-9_-]*");
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,15}(\\.\\d{1,9})?");
    private static final int MAX_CHARS = 1 << 20;

    private record Token(String text, int line) {}

    private final String name;
    private final List<String> parsedTokens = new ArrayList<>();

    private HclFile(String name) {
        this.name = name;
    }

    /**
     * Parses the text of a file and returns its top level as a block. Errors refer to the file by
     * this name.
     */
    public static HclBlock parse(String name, String text) throws MalformedException {
        return new HclFile(name).parseTopLevel(text);
    }

    private HclBlock parseTopLevel(String text) throws MalformedException {
        if (text.length() > MAX_CHARS) {
            throw new MalformedException(name + ": settings file too large");
        }
        List<Symbol> symbols;
        try {
            symbols = HclSymbols.read(new StringReader(text));
        } catch (HCLParserException bad) {
            Matcher where = LINE_NUMBER.matcher(String.valueOf(bad.getMessage()));
            throw errorAt(where.find() ? Integer.parseInt(where.group(1)) : 1, "not HCL");
        } catch (IOException | RuntimeException | Error bad) {
            // JFlex throws Error on text that it cannot match.
            throw new MalformedException(name + ": not HCL: " + bad.getMessage());
        }
        HclBlock top = new HclBlock(name, "", List.of(), 1);
        for (Symbol symbol : symbols) {
            addSymbol(top, symbol);
        }
        checkAllTokensParsed(text);
        return top;
    }

    private MalformedException errorAt(int line, String what) {
        return new MalformedException(name + ":" + line + ": " + what);
    }

    private static int lineNumber(Symbol symbol) {
        return symbol.getLine() + 1; // the library counts from 0
    }

    private void addSymbol(HclBlock into, Symbol symbol) throws MalformedException {
        if (symbol instanceof HCLAttribute) {
            parsedTokens.add(symbol.getName());
            parsedTokens.add("=");
            List<Symbol> values = children(symbol);
            if (values.size() != 1) {
                throw errorAt(lineNumber(symbol), "'" + symbol.getName() + "' has no plain value");
            }
            into.addAttribute(
                    symbol.getName(),
                    parseValue(symbol.getName(), values.get(0)),
                    lineNumber(symbol));
        } else if (symbol instanceof HCLBlock block) {
            parsedTokens.addAll(block.blockNames);
            HclBlock inner =
                    new HclBlock(
                            name,
                            block.blockNames.get(0),
                            block.blockNames.subList(1, block.blockNames.size()),
                            lineNumber(symbol));
            parsedTokens.add("{");
            for (Symbol child : children(symbol)) {
                addSymbol(inner, child);
            }
            parsedTokens.add("}");
            into.addBlock(inner);
        } else {
            throw errorAt(lineNumber(symbol), "only blocks and attributes can stand here");
        }
    }

    private Object parseValue(String of, Symbol symbol) throws MalformedException {
        if (symbol instanceof HCLArray) {
            List<Object> items = new ArrayList<>();
            parsedTokens.add("[");
            for (Symbol child : children(symbol)) {
                items.add(parseValue(of, child));
            }
            parsedTokens.add("]");
            return items;
        }
        if (!(symbol instanceof HCLValue plain) || plain.value == null) {
            throw errorAt(
                    lineNumber(symbol),
                    "'" + of + "' takes plain values only: texts, numbers, true, false, lists");
        }
        String text = plain.value.toString();
        parsedTokens.add(text);
        return switch (plain.type) {
            case "string" -> text;
            case "boolean" -> Boolean.valueOf(text);
            case "number" -> {
                if (!NUMBER.matcher(text).matches()) {
                    throw errorAt(lineNumber(symbol), "'" + of + "': not a number: " + text);
                }
                yield Double.valueOf(text);
            }
            default -> throw errorAt(lineNumber(symbol), "'" + of + "' has no plain value");
        };
    }

    private static List<Symbol> children(Symbol symbol) {
        return symbol.getChildren() == null ? List.of() : symbol.getChildren();
    }

    /** Rejects the first token of the text that is missing in the parsed tokens. */
    private void checkAllTokensParsed(String text) throws MalformedException {
        Iterator<String> known = parsedTokens.iterator();
        int last = 1;
        for (Token token : tokens(text)) {
            last = token.line();
            if (!known.hasNext() || !known.next().equals(token.text())) {
                throw errorAt(token.line(), "'" + token.text() + "' cannot stand here");
            }
        }
        if (known.hasNext()) {
            throw errorAt(last, "the file ends early");
        }
    }

    private static List<Token> tokens(String text) {
        StreamTokenizer in = new StreamTokenizer(new StringReader(text));
        in.resetSyntax();
        in.whitespaceChars(0, ' ');
        in.whitespaceChars(',', ','); // between the items of a list
        in.wordChars('a', 'z');
        in.wordChars('A', 'Z');
        in.wordChars('0', '9');
        in.wordChars('_', '_');
        in.wordChars('-', '-');
        in.wordChars('.', '.');
        in.quoteChar('"');
        in.commentChar('#');
        in.slashSlashComments(true);
        in.slashStarComments(true);
        List<Token> all = new ArrayList<>();
        try {
            while (in.nextToken() != StreamTokenizer.TT_EOF) {
                boolean single = in.ttype != StreamTokenizer.TT_WORD && in.ttype != '"';
                all.add(new Token(single ? String.valueOf((char) in.ttype) : in.sval, in.lineno()));
            }
        } catch (IOException impossible) { // a StringReader does not fail
            throw new IllegalStateException(impossible);
        }
        return all;
    }

    /** Whether the text is a valid name of an attribute or a block. */
    static boolean isIdentifier(String text) {
        return IDENTIFIER.matcher(text).matches();
    }
}
