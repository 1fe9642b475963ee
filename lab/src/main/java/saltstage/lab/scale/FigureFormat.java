package saltstage.lab.scale;

import java.math.BigDecimal;
import java.math.MathContext;

/** Formats figures for CSV files and pages. */
final class FigureFormat {
    private static final MathContext CSV_DIGITS = new MathContext(6);
    private static final MathContext PAGE_DIGITS = new MathContext(3);
    private static final double MIN_SHOWN_VALUE = 1e-12;

    private FigureFormat() {}

    /** Formats a value for a CSV file: six significant digits without an exponent. */
    static String forCsv(double value) {
        return roundToDigits(value, CSV_DIGITS);
    }

    /** Formats a value for a page: three significant digits with thousands separators. */
    static String forPage(double value) {
        String text = roundToDigits(value, PAGE_DIGITS);
        int pointIndex = text.indexOf('.');
        String integerPart = pointIndex < 0 ? text : text.substring(0, pointIndex);
        String grouped = integerPart.replaceAll("(?<=\\d)(?=(\\d{3})+$)", ",");
        return grouped + (pointIndex < 0 ? "" : text.substring(pointIndex));
    }

    private static String roundToDigits(double value, MathContext digits) {
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            return Double.toString(value);
        }
        if (Math.abs(value) < MIN_SHOWN_VALUE) {
            return "0";
        }
        return new BigDecimal(value).round(digits).stripTrailingZeros().toPlainString();
    }
}
