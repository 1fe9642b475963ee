package saltstage.lab.scale;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * What a role needs of a resource at the target size, and its budget: a row of the capacity page.
 *
 * @param role the part of an installation that needs the resource
 * @param resource the resource, with the unit of its figures
 * @param source how the need is determined
 * @param budget how much of the resource there is, in the same unit; NaN if the source gives it
 * @param implementation the class or package that implements what needs the resource
 */
record CapacityRequirement(
        String role, String resource, Source source, double budget, String implementation) {
    /** Returns a row without a budget and an implementation. */
    static CapacityRequirement of(String role, String resource, Source source) {
        return new CapacityRequirement(role, resource, source, Double.NaN, "");
    }

    /** Returns this row with a budget and an implementation. */
    CapacityRequirement withBudget(double newBudget, String implementedBy) {
        return new CapacityRequirement(role, resource, source, newBudget, implementedBy);
    }

    /** Returns this row with an implementation, for a source that gives the budget itself. */
    CapacityRequirement withImplementation(String implementedBy) {
        return new CapacityRequirement(role, resource, source, Double.NaN, implementedBy);
    }

    /** How a need is determined. */
    sealed interface Source permits Extrapolation, MeasuredFigure, MeasuredLimit, Estimate {}

    /**
     * A line through the points of a figure, evaluated at the target and multiplied.
     *
     * @param includesIntercept false if the value at quantity 0 is not part of the need
     */
    record Extrapolation(
            String run,
            String figure,
            String quantity,
            double targetQuantity,
            double multiplier,
            boolean includesIntercept)
            implements Source {
        /** Returns an extrapolation with a multiplier of 1 that includes the intercept. */
        static Extrapolation of(String run, String figure, String quantity, double target) {
            return new Extrapolation(run, figure, quantity, target, 1, true);
        }

        /** Returns this extrapolation with its multiplier replaced. */
        Extrapolation multipliedBy(double factor) {
            return new Extrapolation(
                    run, figure, quantity, targetQuantity, factor, includesIntercept);
        }

        /** Returns this extrapolation without its intercept. */
        Extrapolation withoutIntercept() {
            return new Extrapolation(run, figure, quantity, targetQuantity, multiplier, false);
        }
    }

    /** A figure that was measured at the target's size. */
    record MeasuredFigure(String run, String figure, double quantity) implements Source {
        static MeasuredFigure of(String run, String figure, double quantity) {
            return new MeasuredFigure(run, figure, quantity);
        }
    }

    /**
     * The measured maximum, compared with what the target needs. The budget is a limit that the
     * runs reached.
     *
     * @param measuredMax reads the measured maximum
     * @param targetValue what the target needs
     */
    record MeasuredLimit(Function<MeasuredData, Double> measuredMax, double targetValue)
            implements Source {}

    /**
     * Arithmetic on measured figures, or on the design alone.
     *
     * @param arithmetic the calculation, as text for the reader of the page
     * @param value the result of the calculation
     * @param measuredCapacity reads the capacity that was measured
     */
    record Estimate(
            String arithmetic, double value, Function<MeasuredData, Double> measuredCapacity)
            implements Source {}

    /**
     * The computed need.
     *
     * @param need the need at the target; NaN if no line fits or nothing was measured
     * @param budget the budget in the same unit
     * @param fit the fitted line, or null if the source is not an extrapolation
     */
    record Result(
            CapacityRequirement requirement, double need, double budget, LineFit fit, Basis basis) {
        /** How many times the need fits into the budget. */
        double headroom() {
            return budget / need;
        }
    }

    /** What a computed need is based on. */
    enum Basis {
        /** A line through measured points. */
        FIT,
        /** No growth within the measured range: the mean, or the largest growth in the interval. */
        FLAT,
        /** Measured at the target's size. */
        MEASURED,
        /** A limit that was measured. */
        LIMIT,
        /** Arithmetic on measured figures or on the design. */
        ESTIMATE,
        /** The measured points do not lie on a line. */
        NO_LINE,
        /** No run has measured it. */
        NOT_MEASURED;

        /** The basis as the tables show it. */
        String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** Computes the need from measured data. */
    Result evaluate(MeasuredData data) {
        if (source instanceof Extrapolation line) {
            return evaluateLine(line, data.points(line.run(), line.figure()));
        }
        if (source instanceof MeasuredFigure figure) {
            OptionalDouble value = data.valueAt(figure.run(), figure.figure(), figure.quantity());
            return value.isPresent()
                    ? new Result(this, value.getAsDouble(), budget, null, Basis.MEASURED)
                    : new Result(this, Double.NaN, budget, null, Basis.NOT_MEASURED);
        }
        if (source instanceof MeasuredLimit limit) {
            double measuredMax = limit.measuredMax().apply(data);
            return new Result(
                    this,
                    limit.targetValue(),
                    measuredMax,
                    null,
                    Double.isNaN(measuredMax) ? Basis.NOT_MEASURED : Basis.LIMIT);
        }
        Estimate estimate = (Estimate) source;
        return new Result(
                this,
                estimate.value(),
                estimate.measuredCapacity().apply(data),
                null,
                Basis.ESTIMATE);
    }

    private Result evaluateLine(Extrapolation line, List<LineFit.Point> points) {
        LineFit fit = LineFit.of(points);
        return switch (fit.shape()) {
            case TOO_FEW_POINTS -> new Result(this, Double.NaN, budget, fit, Basis.NOT_MEASURED);
            case CURVED -> evaluateWithoutLine(line, points, fit);
            case FLAT -> {
                double mean =
                        points.stream().mapToDouble(LineFit.Point::value).average().orElseThrow();
                double maxGrowth = fit.slope().high() * line.targetQuantity();
                double value = line.includesIntercept() ? mean : maxGrowth;
                yield new Result(this, value * line.multiplier(), budget, fit, Basis.FLAT);
            }
            case LINE -> {
                double value =
                        !line.includesIntercept()
                                ? fit.slope().value() * line.targetQuantity()
                                : fit.valueAt(line.targetQuantity());
                yield new Result(
                        this, Math.max(0, value) * line.multiplier(), budget, fit, Basis.FIT);
            }
        };
    }

    /**
     * Uses the lowest measured point at or above the target. Without such a point, or where the
     * intercept is not part of the need, the need stays unknown.
     */
    private Result evaluateWithoutLine(
            Extrapolation line, List<LineFit.Point> points, LineFit fit) {
        return points.stream()
                .filter(
                        point ->
                                point.quantity() >= line.targetQuantity()
                                        && line.includesIntercept())
                .min(Comparator.comparingDouble(LineFit.Point::quantity))
                .map(
                        point ->
                                new Result(
                                        this,
                                        point.value() * line.multiplier(),
                                        budget,
                                        fit,
                                        Basis.MEASURED))
                .orElse(new Result(this, Double.NaN, budget, fit, Basis.NO_LINE));
    }
}
