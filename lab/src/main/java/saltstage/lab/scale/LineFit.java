package saltstage.lab.scale;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.exception.MathIllegalArgumentException;
import org.apache.commons.math3.stat.regression.OLSMultipleLinearRegression;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A least-squares line through measured points, with 95% confidence intervals from Student's t
 * distribution. The line must not be used if the points are curved: if a quadratic term differs
 * from zero at the 5% level and changes the value at the largest quantity by more than a tenth.
 *
 * @param shape whether a line describes the points
 * @param intercept the value at quantity 0
 * @param slope the growth per unit of the quantity
 * @param minQuantity the smallest measured quantity above 0
 * @param maxQuantity the largest measured quantity
 * @param pointCount the number of measured points
 */
public record LineFit(
        Shape shape,
        Interval intercept,
        Interval slope,
        double minQuantity,
        double maxQuantity,
        int pointCount) {
    private static final double SIGNIFICANCE_LEVEL = 0.05;
    private static final double MIN_CURVATURE_SHARE = 0.1;
    private static final int MIN_POINTS = 5;
    private static final double MIN_RANGE_FACTOR = 16;

    /** The shape of the measured points. */
    public enum Shape {
        /** A line with a slope that differs significantly from zero. */
        LINE,
        /** No growth: the interval of the slope contains zero. */
        FLAT,
        /** The quadratic term is significant: no line describes the points. */
        CURVED,
        /** Fewer than five points, or a range of quantities below a factor of 16. */
        TOO_FEW_POINTS
    }

    /** An estimate and the bounds of its 95% confidence interval. */
    public record Interval(double value, double low, double high) {
        private static Interval around(double value, double halfWidth) {
            return new Interval(value, value - halfWidth, value + halfWidth);
        }
    }

    /** A quantity and the value measured at it. */
    public record Point(double quantity, double value) {}

    /**
     * Fits a line to the points. Points at quantity 0 take part in the fit but are ignored when the
     * range factor between the smallest and the largest quantity is checked.
     */
    public static LineFit of(List<Point> points) {
        double minQuantity =
                points.stream().mapToDouble(Point::quantity).filter(q -> q > 0).min().orElse(0);
        double maxQuantity = points.stream().mapToDouble(Point::quantity).max().orElse(0);
        if (points.size() < MIN_POINTS || maxQuantity < MIN_RANGE_FACTOR * minQuantity * 0.99) {
            Interval none = new Interval(Double.NaN, Double.NaN, Double.NaN);
            return new LineFit(
                    Shape.TOO_FEW_POINTS, none, none, minQuantity, maxQuantity, points.size());
        }
        SimpleRegression line = new SimpleRegression();
        points.forEach(point -> line.addData(point.quantity(), point.value()));
        double tQuantile =
                new TDistribution(points.size() - 2.0)
                        .inverseCumulativeProbability(1 - SIGNIFICANCE_LEVEL / 2);
        Interval slope = Interval.around(line.getSlope(), tQuantile * line.getSlopeStdErr());
        Interval intercept =
                Interval.around(line.getIntercept(), tQuantile * line.getInterceptStdErr());
        return new LineFit(
                classify(points, slope, maxQuantity),
                intercept,
                slope,
                minQuantity,
                maxQuantity,
                points.size());
    }

    private static Shape classify(List<Point> points, Interval slope, double maxQuantity) {
        if (isCurved(points, maxQuantity)) {
            return Shape.CURVED;
        }
        return slope.low() <= 0 && slope.high() >= 0 ? Shape.FLAT : Shape.LINE;
    }

    private static boolean isCurved(List<Point> points, double maxQuantity) {
        double[] values = points.stream().mapToDouble(Point::value).toArray();
        double[][] powers = new double[points.size()][];
        for (int i = 0; i < powers.length; i++) {
            double scaled =
                    points.get(i).quantity() / maxQuantity; // keeps the matrix well-conditioned
            powers[i] = new double[] {scaled, scaled * scaled};
        }
        try {
            OLSMultipleLinearRegression curve = new OLSMultipleLinearRegression();
            curve.newSampleData(values, powers);
            double[] terms = curve.estimateRegressionParameters();
            double standardError = curve.estimateRegressionParametersStandardErrors()[2];
            double degreesOfFreedom = points.size() - 3.0;
            double tQuantile =
                    new TDistribution(degreesOfFreedom)
                            .inverseCumulativeProbability(1 - SIGNIFICANCE_LEVEL / 2);
            double valueAtMaxQuantity = Math.abs(terms[0] + terms[1] + terms[2]);
            return Math.abs(terms[2]) > tQuantile * standardError
                    && Math.abs(terms[2]) > MIN_CURVATURE_SHARE * valueAtMaxQuantity;
        } catch (MathIllegalArgumentException constantValues) {
            return false; // all points have the same value
        }
    }

    /** The value of the line at a quantity. */
    public double valueAt(double quantity) {
        return intercept.value() + slope.value() * quantity;
    }
}
