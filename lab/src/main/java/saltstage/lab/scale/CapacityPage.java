package saltstage.lab.scale;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fills the generated parts of a page: the text between {@code <!-- table:NAME -->} and its end
 * mark.
 */
final class CapacityPage {
    private static final Pattern TABLE_PATTERN =
            Pattern.compile(
                    "(<!-- table:([a-z-]+) -->\n)(.*?)(<!-- /table:\\2 -->)", Pattern.DOTALL);

    private CapacityPage() {}

    /** Returns the page with its tables replaced; throws if the page names an unknown table. */
    static String fillTables(String page, Map<String, String> tables) {
        Matcher matcher = TABLE_PATTERN.matcher(page);
        StringBuilder filled = new StringBuilder();
        while (matcher.find()) {
            String table = tables.get(matcher.group(2));
            if (table == null) {
                throw new IllegalArgumentException("no such table: " + matcher.group(2));
            }
            matcher.appendReplacement(
                    filled,
                    Matcher.quoteReplacement(matcher.group(1) + table + "\n" + matcher.group(4)));
        }
        return matcher.appendTail(filled).toString();
    }

    /** Returns all tables by name, computed from measured data. */
    static Map<String, String> tables(MeasuredData data) {
        CapacityTables tables = new CapacityTables(data);
        Map<String, String> byName = new TreeMap<>();
        byName.put("summary", tables.summary());
        byName.put("fits", tables.fits());
        byName.put("estimates", tables.estimates());
        byName.put("events", EventTable.of(data));
        byName.put("files", MeasurementFileTable.of(data.folder()));
        byName.put("backends", BackendsTable.of(data));
        byName.put("real-relays", RealRelaysTable.of(data));
        return byName;
    }
}
