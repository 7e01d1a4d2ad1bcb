package org.cranberrybend.experiment.capacity;

import java.util.List;

/**
 * A quantity measured at several sizes, with a linear least-squares fit.
 *
 * @param name name of the quantity
 * @param sizeUnit unit of the sizes
 * @param valueUnit unit of the measured values
 * @param points measured points, with at least three different sizes: the residual of a line through two is always 0
 */
public record SlopeMeasurement(String name, String sizeUnit, String valueUnit, List<Point> points) {
    private static final int MIN_DISTINCT_SIZES = 3;

    /**
     * One measured value.
     *
     * @param size size at which it was measured
     * @param value measured value
     */
    public record Point(double size, double value) {}

    public SlopeMeasurement {
        points = List.copyOf(points);
        long sizes = points.stream().mapToDouble(Point::size).distinct().count();
        if (sizes < MIN_DISTINCT_SIZES) {
            throw new IllegalArgumentException("\"" + name + "\" needs points of at least " + MIN_DISTINCT_SIZES
                    + " different sizes, got " + sizes);
        }
    }

    /** Returns the slope of the fitted line, in units of the value per unit of the size. */
    public double slope() {
        double sizeMean = sizeMean();
        double valueMean = valueMean();
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size() - sizeMean) * (point.value() - valueMean);
            variance += (point.size() - sizeMean) * (point.size() - sizeMean);
        }
        return covariance / variance;
    }

    /** Returns the value of the fitted line at size 0. */
    public double intercept() {
        return valueMean() - slope() * sizeMean();
    }

    /** Returns the root mean square of the residuals, in units of the value. */
    public double residual() {
        double slope = slope();
        double intercept = intercept();
        return Math.sqrt(points.stream()
                .mapToDouble(point -> point.value() - intercept - slope * point.size())
                .map(distance -> distance * distance)
                .average()
                .orElseThrow());
    }

    private double sizeMean() {
        return points.stream().mapToDouble(Point::size).average().orElseThrow();
    }

    private double valueMean() {
        return points.stream().mapToDouble(Point::value).average().orElseThrow();
    }
}
