package saltstage.lab.scale;

import java.math.BigDecimal;
import java.math.MathContext;

/** How figures are written, in CSVs and on pages. */
final class Figures {
    private static final MathContext CSV_DIGITS = new MathContext(6);
    private static final MathContext PAGE_DIGITS = new MathContext(3);
    private static final double SMALLEST_SHOWN = 1e-12;

    private Figures() {}

    /** Six significant digits without an exponent, as in CSVs. */
    static String plain(double value) {
        return digits(value, CSV_DIGITS);
    }

    /** Three significant digits, thousands grouped, as on pages. */
    static String page(double value) {
        String text = digits(value, PAGE_DIGITS);
        int point = text.indexOf('.');
        String whole = point < 0 ? text : text.substring(0, point);
        String grouped = whole.replaceAll("(?<=\\d)(?=(\\d{3})+$)", ",");
        return grouped + (point < 0 ? "" : text.substring(point));
    }

    private static String digits(double value, MathContext digits) {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            return Double.toString(value);
        }
        if (Math.abs(value) < SMALLEST_SHOWN) {
            return "0";
        }
        return new BigDecimal(value).round(digits).stripTrailingZeros().toPlainString();
    }
}
