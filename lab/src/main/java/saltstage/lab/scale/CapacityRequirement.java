package saltstage.lab.scale;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * What a role needs of a resource at the target size, and its budget: a row of the capacity page.
 *
 * @param role who needs it
 * @param resource what it needs, with the unit of its figures
 * @param source where the need comes from
 * @param budget how much there is, in the same unit
 * @param carrier the class or package that carries it
 */
record CapacityRequirement(
        String role, String resource, Source source, double budget, String implementation) {
    /** A row whose budget and carrier are still to be said. */
    static CapacityRequirement of(String role, String resource, Source source) {
        return new CapacityRequirement(role, resource, source, Double.NaN, "");
    }

    /** The same with a budget. */
    CapacityRequirement withBudget(double given, String by) {
        return new CapacityRequirement(role, resource, source, given, by);
    }

    /** The same, where the source itself brings the budget. */
    CapacityRequirement withImplementation(String by) {
        return new CapacityRequirement(role, resource, source, Double.NaN, by);
    }

    /** Where a need comes from. */
    sealed interface Source permits Extrapolation, MeasuredFigure, MeasuredLimit, Estimate {}

    /**
     * A line through the points of a figure, read at the target and multiplied.
     *
     * @param withIntercept false where the value at quantity 0 is no part of the need
     */
    record Extrapolation(
            String run,
            String figure,
            String quantity,
            double targetQuantity,
            double multiplier,
            boolean includesIntercept)
            implements Source {
        static Extrapolation of(String run, String figure, String quantity, double target) {
            return new Extrapolation(run, figure, quantity, target, 1, true);
        }

        /** The same, multiplied. */
        Extrapolation multipliedBy(double factor) {
            return new Extrapolation(
                    run, figure, quantity, targetQuantity, factor, includesIntercept);
        }

        /** The same without its intercept. */
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
     * The most that was measured, against what the target takes: a budget that was found by running
     * into it.
     *
     * @param most reads the measured most
     * @param target what the target takes
     */
    record MeasuredLimit(Function<MeasuredData, Double> measuredMax, double targetValue)
            implements Source {}

    /**
     * Arithmetic on measured figures, or on the design alone.
     *
     * @param arithmetic as a reader can follow it
     * @param carried reads what was measured to be carried of it
     */
    record Estimate(
            String arithmetic, double value, Function<MeasuredData, Double> measuredCapacity)
            implements Source {}

    /**
     * The need as computed.
     *
     * @param need at the target; NaN where no line is drawn or nothing was measured
     * @param budget in the same unit
     * @param fit the line, or null
     */
    record Result(
            CapacityRequirement requirement, double need, double budget, LineFit fit, Basis basis) {
        double headroom() {
            return budget / need;
        }
    }

    /** What a need rests on. */
    enum Basis {
        /** A line through measured points. */
        FIT,
        /** No growth within the measured range: the mean, or the most that the interval allows. */
        FLAT,
        /** Measured at the target's size. */
        MEASURED,
        /** A measured bound. */
        LIMIT,
        /** Arithmetic. */
        ESTIMATE,
        /** Points that bend. */
        NO_LINE,
        /** No run of it. */
        NOT_MEASURED;

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
            double most = limit.measuredMax().apply(data);
            return new Result(
                    this,
                    limit.targetValue(),
                    most,
                    null,
                    Double.isNaN(most) ? Basis.NOT_MEASURED : Basis.LIMIT);
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
                double mostGrowth = fit.slope().high() * line.targetQuantity();
                double value = line.includesIntercept() ? mean : mostGrowth;
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

    /** Where the target was passed by the runs, the next point above it; else nothing. */
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
