package saltstage.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong fits: wrong coefficients or intervals, and lines through points that are
 * curved, flat or too few.
 */
class LineFitTest {
    private static final double[] QUANTITIES = {1, 2, 4, 8, 16};

    /** Deviations added to the points in order, so that they do not lie exactly on the curve. */
    private static final double[] NOISE = {0.2, -0.3, 0.1, 0.25, -0.2};

    private static LineFit fit(DoubleUnaryOperator curve) {
        int[] next = {0};
        return LineFit.of(
                DoubleStream.of(QUANTITIES)
                        .mapToObj(
                                q ->
                                        new LineFit.Point(
                                                q, curve.applyAsDouble(q) + NOISE[next[0]++]))
                        .toList());
    }

    @Test
    void lineIsFittedWithinItsIntervals() {
        LineFit fit = fit(q -> 10 + 3 * q);
        assertEquals(LineFit.Shape.LINE, fit.shape());
        assertTrue(fit.slope().low() < 3 && 3 < fit.slope().high(), fit.toString());
        assertTrue(fit.intercept().low() < 10 && 10 < fit.intercept().high(), fit.toString());
        assertEquals(310, fit.valueAt(100), 10);
    }

    @Test
    void intervalsFollowStudentsTWithThreeDegreesOfFreedom() {
        // Student's t at 97.5% with three degrees of freedom is 3.18245.
        LineFit fit =
                LineFit.of(
                        List.of(
                                new LineFit.Point(0, 0.1),
                                new LineFit.Point(1, 1),
                                new LineFit.Point(2, 2.3),
                                new LineFit.Point(3, 3.3),
                                new LineFit.Point(16, 17.0)));
        double halfWidth = (fit.slope().high() - fit.slope().low()) / 2;
        assertEquals(3.18245 * slopeError(), halfWidth, 1e-4);
    }

    private static double slopeError() {
        double[] x = {0, 1, 2, 3, 16};
        double[] y = {0.1, 1, 2.3, 3.3, 17.0};
        double meanX = DoubleStream.of(x).average().orElseThrow();
        double meanY = DoubleStream.of(y).average().orElseThrow();
        double xx = 0;
        double xy = 0;
        for (int i = 0; i < x.length; i++) {
            xx += (x[i] - meanX) * (x[i] - meanX);
            xy += (x[i] - meanX) * (y[i] - meanY);
        }
        double slope = xy / xx;
        double squaredResiduals = 0;
        for (int i = 0; i < x.length; i++) {
            double residual = y[i] - meanY - slope * (x[i] - meanX);
            squaredResiduals += residual * residual;
        }
        return Math.sqrt(squaredResiduals / 3 / xx);
    }

    @Test
    void curvedResidualsYieldNoLine() {
        assertEquals(LineFit.Shape.CURVED, fit(q -> 1 + q * q).shape());
        assertEquals(LineFit.Shape.CURVED, fit(q -> 20 * Math.sqrt(q)).shape());
    }

    @Test
    void noGrowthIsFlat() {
        assertEquals(LineFit.Shape.FLAT, fit(q -> 5).shape());
    }

    @Test
    void fourPointsOrLessThanAFactorOfSixteenAreTooFew() {
        List<LineFit.Point> four =
                DoubleStream.of(1, 4, 8, 16).mapToObj(q -> new LineFit.Point(q, q)).toList();
        assertEquals(LineFit.Shape.TOO_FEW_POINTS, LineFit.of(four).shape());
        List<LineFit.Point> near =
                DoubleStream.of(1, 2, 3, 4, 5).mapToObj(q -> new LineFit.Point(q, q)).toList();
        assertEquals(LineFit.Shape.TOO_FEW_POINTS, LineFit.of(near).shape());
    }
}
