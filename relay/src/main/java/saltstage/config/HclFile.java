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
        } catch (HCLParserException e) {
            Matcher matcher = LINE_NUMBER.matcher(String.valueOf(e.getMessage()));
            throw errorAt(matcher.find() ? Integer.parseInt(matcher.group(1)) : 1, "not HCL");
        } catch (IOException | RuntimeException | Error e) {
            // JFlex throws Error on text that it cannot match.
            throw new MalformedException(name + ": not HCL: " + e.getMessage());
        }
        HclBlock top = new HclBlock(name, "", List.of(), 1);
        for (Symbol symbol : symbols) {
            addSymbol(top, symbol);
        }
        checkAllTokensParsed(text);
        return top;
    }

    private MalformedException errorAt(int line, String message) {
        return new MalformedException(name + ":" + line + ": " + message);
    }

    private static int lineNumber(Symbol symbol) {
        return symbol.getLine() + 1; // the library counts from 0
    }

    private void addSymbol(HclBlock parent, Symbol symbol) throws MalformedException {
        if (symbol instanceof HCLAttribute) {
            parsedTokens.add(symbol.getName());
            parsedTokens.add("=");
            List<Symbol> values = children(symbol);
            if (values.size() != 1) {
                throw errorAt(lineNumber(symbol), "'" + symbol.getName() + "' has no plain value");
            }
            parent.addAttribute(
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
            parent.addBlock(inner);
        } else {
            throw errorAt(lineNumber(symbol), "only blocks and attributes can stand here");
        }
    }

    private Object parseValue(String attributeName, Symbol symbol) throws MalformedException {
        if (symbol instanceof HCLArray) {
            List<Object> items = new ArrayList<>();
            parsedTokens.add("[");
            for (Symbol child : children(symbol)) {
                items.add(parseValue(attributeName, child));
            }
            parsedTokens.add("]");
            return items;
        }
        if (!(symbol instanceof HCLValue literal) || literal.value == null) {
            throw errorAt(
                    lineNumber(symbol),
                    "'"
                            + attributeName
                            + "' takes plain values only: texts, numbers, true, false, lists");
        }
        String text = literal.value.toString();
        parsedTokens.add(text);
        return switch (literal.type) {
            case "string" -> text;
            case "boolean" -> Boolean.valueOf(text);
            case "number" -> {
                if (!NUMBER.matcher(text).matches()) {
                    throw errorAt(
                            lineNumber(symbol), "'" + attributeName + "': not a number: " + text);
                }
                yield Double.valueOf(text);
            }
            default ->
                    throw errorAt(lineNumber(symbol), "'" + attributeName + "' has no plain value");
        };
    }

    private static List<Symbol> children(Symbol symbol) {
        return symbol.getChildren() == null ? List.of() : symbol.getChildren();
    }

    /** Rejects the first token of the text that is missing in the parsed tokens. */
    private void checkAllTokensParsed(String text) throws MalformedException {
        Iterator<String> parsed = parsedTokens.iterator();
        int lastLine = 1;
        for (Token token : tokens(text)) {
            lastLine = token.line();
            if (!parsed.hasNext() || !parsed.next().equals(token.text())) {
                throw errorAt(token.line(), "'" + token.text() + "' cannot stand here");
            }
        }
        if (parsed.hasNext()) {
            throw errorAt(lastLine, "the file ends early");
        }
    }

    private static List<Token> tokens(String text) {
        StreamTokenizer tokenizer = new StreamTokenizer(new StringReader(text));
        tokenizer.resetSyntax();
        tokenizer.whitespaceChars(0, ' ');
        tokenizer.whitespaceChars(',', ','); // between the items of a list
        tokenizer.wordChars('a', 'z');
        tokenizer.wordChars('A', 'Z');
        tokenizer.wordChars('0', '9');
        tokenizer.wordChars('_', '_');
        tokenizer.wordChars('-', '-');
        tokenizer.wordChars('.', '.');
        tokenizer.quoteChar('"');
        tokenizer.commentChar('#');
        tokenizer.slashSlashComments(true);
        tokenizer.slashStarComments(true);
        List<Token> tokens = new ArrayList<>();
        try {
            while (tokenizer.nextToken() != StreamTokenizer.TT_EOF) {
                boolean singleCharacter =
                        tokenizer.ttype != StreamTokenizer.TT_WORD && tokenizer.ttype != '"';
                tokens.add(
                        new Token(
                                singleCharacter
                                        ? String.valueOf((char) tokenizer.ttype)
                                        : tokenizer.sval,
                                tokenizer.lineno()));
            }
        } catch (IOException impossible) { // a StringReader does not fail
            throw new IllegalStateException(impossible);
        }
        return tokens;
    }

    /** Whether the text is a valid name of an attribute or a block. */
    static boolean isIdentifier(String text) {
        return IDENTIFIER.matcher(text).matches();
    }
}
