package org.cranberrybend.experiment.capacity;

import java.util.List;

/**
 * A quantity measured at several sizes, with the straight line of least squares through the points.
 *
 * @param name what was measured
 * @param sizeUnit unit of the sizes
 * @param valueUnit unit of the measured values
 * @param points measured points; at least three with different sizes
 */
public record SlopeMeasurement(String name, String sizeUnit, String valueUnit, List<Point> points) {
    private static final int POINTS_MIN = 3;

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
        if (sizes < POINTS_MIN) {
            throw new IllegalArgumentException(
                    "\"" + name + "\" needs points of at least " + POINTS_MIN + " sizes: " + sizes);
        }
    }

    /** Returns the slope of the line, in units of the value per unit of the size. */
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

    /** Returns the value of the line at size 0. */
    public double intercept() {
        return valueMean() - slope() * sizeMean();
    }

    /** Returns the root of the mean squared distance of the points from the line, in units of the value. */
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
