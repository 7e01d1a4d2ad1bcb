package org.cranberrybend.experiment.capacity;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.experiment.capacity.SlopeMeasurement.Point;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlopeMeasurementTest {
    // Guards against wrong values on the capacity page, which are all computed from these fits.
    @ParameterizedTest
    @CsvSource({
        "1:3 2:5 3:7, 2, 1, 0",
        "1:4 2:4 3:4, 0, 4, 0",
        "0:0 1:3 2:0, 0, 1, 1.4142135623730951",
        "10:1 20:2 20:2 40:4, 0.1, 0, 0",
    })
    void fitsLineOfLeastSquares(String text, double slope, double intercept, double residual) {
        SlopeMeasurement measurement = new SlopeMeasurement("name", "sizes", "values", points(text));
        assertThat(measurement.slope()).isWithin(1e-12).of(slope);
        assertThat(measurement.intercept()).isWithin(1e-12).of(intercept);
        assertThat(measurement.residual()).isWithin(1e-12).of(residual);
    }

    // Guards against a fit of two points, whose residual of 0 would hide a nonlinear relation.
    @Test
    void refusesFewerThanThreeSizes() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new SlopeMeasurement("name", "sizes", "values", points("1:3 1:4 2:5")));
    }

    private static List<Point> points(String text) {
        List<Point> points = new ArrayList<>();
        for (String pair : text.split(" ")) {
            String[] numbers = pair.split(":");
            points.add(new Point(Double.parseDouble(numbers[0]), Double.parseDouble(numbers[1])));
        }
        return points;
    }
}
