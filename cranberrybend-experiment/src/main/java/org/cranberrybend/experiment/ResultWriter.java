package org.cranberrybend.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/** Writes results as a table, JSON or a bar chart. */
final class ResultWriter {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(SerializationFeature.INDENT_OUTPUT)
            .build();

    private ResultWriter() {}

    static void writeJson(List<Experiment.Result> results, PrintStream out) throws JsonProcessingException {
        out.println(JSON.writeValueAsString(results));
    }

    static void writeTable(List<Experiment.Result> results, PrintStream out) {
        for (Experiment.Result result : results) {
            out.printf("deployment %s, seed %d%n", result.deployment().name().toLowerCase(Locale.ROOT), result.seed());
            out.println("  policy         top@1.5  lowest  goodput  wasted   worst     cost  per cost  preempt  wrong"
                    + "  attainment by class");
            result.byPolicy().forEach((policy, measures) -> out.println(row(policy, measures)));
            for (BoundResult bound : result.bounds()) {
                out.printf(
                        Locale.ROOT,
                        "  bound: %-48s %8.4f  bound %5.2f  %s%n",
                        bound.name(),
                        bound.measured(),
                        bound.bound(),
                        bound.pass() ? "pass" : "missed");
            }
        }
    }

    private static String row(String policy, Measures measures) {
        StringJoiner classes = new StringJoiner(" ");
        measures.attainment().forEach((name, ratio) -> classes.add(String.format(Locale.ROOT, "%s=%.3f", name, ratio)));
        return String.format(
                Locale.ROOT,
                "  %-14s %7.4f %7.4f %8.0f %7.4f %7.3f %8.0f %9.1f %8.3f %6d  %s",
                policy,
                measures.topTierBurstAttainment(),
                measures.lowestClassShare(),
                measures.goodput(),
                measures.wastedRatio(),
                measures.worstAccountRatio(),
                measures.cost(),
                measures.tokensPerCost(),
                measures.preemptibleRatio(),
                measures.wrongReports(),
                classes);
    }

    /** Plots the attainment by policy and class, averaged over seeds; the file name extension selects SVG or PNG. */
    static void writePlot(List<Experiment.Result> results, Path file) throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(1_200)
                .height(600)
                .title("Requests answered within their targets")
                .xAxisTitle("deployment and class")
                .yAxisTitle("ratio")
                .build();
        for (String policy : results.get(0).byPolicy().keySet()) {
            List<String> labels = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            for (Deployment deployment : Deployment.values()) {
                addAverages(results, deployment, policy, labels, values);
            }
            chart.addSeries(policy, labels, values);
        }
        if (file.toString().endsWith(".svg")) {
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        } else {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }

    private static void addAverages(
            List<Experiment.Result> results,
            Deployment deployment,
            String policy,
            List<String> labels,
            List<Double> values) {
        List<Map<String, Double>> ratios = results.stream()
                .filter(result -> result.deployment() == deployment)
                .map(result -> result.byPolicy().get(policy).attainment())
                .toList();
        if (ratios.isEmpty()) {
            return;
        }
        for (String name : ratios.get(0).keySet()) {
            labels.add(deployment.name().toLowerCase(Locale.ROOT) + " " + name);
            values.add(ratios.stream()
                    .mapToDouble(each -> each.get(name))
                    .average()
                    .orElseThrow());
        }
    }
}
