package org.cranberrybend.experiment.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.experiment.capacity.SlopeMeasurement.Point;

/** Prints the measurements as a table or JSON. */
final class CapacityReport {
    private final Map<String, List<SlopeMeasurement>> groups = new LinkedHashMap<>();

    void add(String group, List<SlopeMeasurement> measurements) {
        groups.put(group, List.copyOf(measurements));
    }

    void printJson(PrintStream out) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("processors", Runtime.getRuntime().availableProcessors());
        groups.forEach((name, measurements) -> {
            List<Map<String, Object>> entries = new ArrayList<>();
            for (SlopeMeasurement each : measurements) {
                entries.add(Map.of(
                        "name", each.name(),
                        "size_unit", each.sizeUnit(),
                        "value_unit", each.valueUnit(),
                        "points", each.points(),
                        "slope", each.slope(),
                        "intercept", each.intercept(),
                        "residual", each.residual()));
            }
            report.put(name, entries);
        });
        out.println(CanonicalJson.write(report));
    }

    void printTable(PrintStream out) {
        out.println("processors: " + Runtime.getRuntime().availableProcessors());
        groups.forEach((name, measurements) -> {
            out.println();
            out.println(name);
            measurements.forEach(each -> out.println(line(each)));
        });
    }

    private static String line(SlopeMeasurement each) {
        String points = each.points().stream().map(CapacityReport::point).collect(Collectors.joining(", "));
        return "  " + each.name() + " [" + each.valueUnit() + " by " + each.sizeUnit() + "]\n    points " + points
                + "\n    slope " + number(each.slope()) + ", intercept " + number(each.intercept()) + ", residual "
                + number(each.residual());
    }

    private static String point(Point point) {
        return number(point.size()) + ": " + number(point.value());
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
