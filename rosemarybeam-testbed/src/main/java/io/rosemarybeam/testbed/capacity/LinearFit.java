package io.rosemarybeam.testbed.capacity;

import java.util.Locale;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A linear regression through measured points.
 *
 * <p>At least three points must be added before a result is read. Not safe for use by several threads; confined to one
 * thread.
 */
public final class LinearFit {
    private final String name;
    private final String unit;
    private final String sizeUnit;
    private final SimpleRegression regression = new SimpleRegression();
    private final StringBuilder points = new StringBuilder();

    /**
     * Creates a fit without points.
     *
     * @param name name of the measured quantity
     * @param unit unit of the measured values
     * @param sizeUnit unit of the sizes
     */
    public LinearFit(String name, String unit, String sizeUnit) {
        this.name = name;
        this.unit = unit;
        this.sizeUnit = sizeUnit;
    }

    /**
     * Adds a measured point.
     *
     * @param size size at which the value was measured
     * @param value measured value
     */
    public void add(double size, double value) {
        regression.addData(size, value);
        points.append(String.format(Locale.ROOT, " %.0f:%.2f", size, value));
    }

    /** Returns the value that the regression predicts for a size. */
    public double valueAt(double size) {
        return regression.predict(size);
    }

    /** Returns the growth of the value per unit of size. */
    public double slope() {
        return regression.getSlope();
    }

    /**
     * Renders the result as one line.
     *
     * @param targetSize size for which a value is predicted
     * @return name, slope, intercept, predicted value, coefficient of determination and measured points
     */
    public String render(double targetSize) {
        return String.format(
                Locale.ROOT,
                "%-52s slope %.4f %s/%s, intercept %.2f, at %.0f: %.2f %s, r2 %.3f, points%s",
                name,
                regression.getSlope(),
                unit,
                sizeUnit,
                regression.getIntercept(),
                targetSize,
                valueAt(targetSize),
                unit,
                regression.getRSquare(),
                points);
    }
}
