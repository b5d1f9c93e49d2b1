package io.rosemarybeam.testbed.capacity;

import java.util.Locale;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measured points.
 *
 * <p>Invariant: has at least three points before it is read. Confined to one thread.
 */
public final class LinearFit {
    private final String name;
    private final String unit;
    private final String sizeUnit;
    private final SimpleRegression regression = new SimpleRegression();
    private final StringBuilder points = new StringBuilder();

    /**
     * Creates an empty line.
     *
     * @param name what is measured
     * @param unit unit of the measured value
     * @param sizeUnit unit of the size
     */
    public LinearFit(String name, String unit, String sizeUnit) {
        this.name = name;
        this.unit = unit;
        this.sizeUnit = sizeUnit;
    }

    /**
     * Adds a measured point.
     *
     * @param size the size
     * @param value the measured value
     */
    public void add(double size, double value) {
        regression.addData(size, value);
        points.append(String.format(Locale.ROOT, " %.0f:%.2f", size, value));
    }

    /**
     * Returns the value that the line has at a size.
     *
     * @param size the size
     * @return the value
     */
    public double valueAt(double size) {
        return regression.predict(size);
    }

    /**
     * Returns the growth per unit of size.
     *
     * @return the slope
     */
    public double slope() {
        return regression.getSlope();
    }

    /**
     * Returns the line as text.
     *
     * @param targetSize size to extrapolate to
     * @return name, points, slope, intercept and the value at the target size
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
