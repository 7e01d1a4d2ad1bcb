package org.cranberrybend.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.experiment.capacity.SlopeMeasurement.Point;

/** Collects the points of one slope measurement. */
final class Series {
    private final String name;
    private final String sizeUnit;
    private final String valueUnit;
    private final List<Point> points = new ArrayList<>();

    Series(String name, String sizeUnit, String valueUnit) {
        this.name = name;
        this.sizeUnit = sizeUnit;
        this.valueUnit = valueUnit;
    }

    void add(double size, double value) {
        points.add(new Point(size, value));
    }

    SlopeMeasurement toMeasurement() {
        return new SlopeMeasurement(name, sizeUnit, valueUnit, points);
    }
}
