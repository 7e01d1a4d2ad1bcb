package org.cranberrybend.experiment.capacity;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrybend.core.engine.EngineEstimator;
import org.cranberrybend.core.rateshare.SenderRoster;
import org.cranberrybend.core.routing.Market;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.configuration.LatencyClass;
import org.cranberrybend.entry.configuration.RegionConstraint;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.StoreItem;
import org.cranberrybend.entry.port.StoreSnapshot;
import org.cranberrybend.entry.upstream.LoadReport;
import org.cranberrybend.entry.upstream.Prompt;
import org.cranberrybend.entry.upstream.SendLimits;
import org.cranberrybend.entry.upstream.Upstream;
import org.cranberrybend.entry.upstream.UpstreamEligibility;
import org.cranberrybend.entry.upstream.UpstreamQuery;
import org.cranberrybend.entry.upstream.UpstreamRecord;
import org.cranberrybend.entry.upstream.UpstreamSelector;
import org.cranberrybend.entry.upstream.UpstreamTable;
import org.cranberrybend.entry.upstream.WarmUpLimiter;
import org.cranberrybend.entry.upstream.ZoneEvacuations;

/** Costs of the choice of an upstream by an entry instance. */
final class SelectorGroup implements CapacityGroup {
    private static final int[] UPSTREAMS = {6, 98, 1_000, 10_000};
    private static final int ZONES = 14;
    private static final int SLOTS = 64;
    /** Choices measured together, since one takes less than the clock resolves. */
    private static final int CHOICES = 100;

    private static final int PROMPTS = 50;
    private static final String PREFIX = "upstreams/";
    private static final String SERVICE = "service";

    private final TimeSource timeSource = TimeSource.system();
    private final DecisionLog log = new DecisionLog("capacity", 1, timeSource, OutputStream.nullOutputStream());

    @Override
    public String name() {
        return "selector";
    }

    @Override
    public List<SlopeMeasurement> measure() {
        Series plain = new Series("CPU of a choice, plain service", "upstreams", "us");
        Series sensitive = new Series("CPU of a choice, prompt, sensitive route", "upstreams", "us");
        Series longPrefix = new Series("CPU of a choice, prompt with a long prefix, tolerant route", "upstreams", "us");
        for (int upstreams : UPSTREAMS) {
            UpstreamTable table = table(upstreams);
            plain.add(upstreams, choiceUs(table, List.of(query(Prompt.NONE, LatencyClass.UNIFORM))));
            sensitive.add(upstreams, choiceUs(table, queries(900, LatencyClass.SENSITIVE)));
            longPrefix.add(upstreams, choiceUs(table, queries(9_000, LatencyClass.TOLERANT)));
        }
        return List.of(plain.toMeasurement(), sensitive.toMeasurement(), longPrefix.toMeasurement());
    }

    private double choiceUs(UpstreamTable table, List<UpstreamQuery> queries) {
        SendLimits limits = new SendLimits(new WarmUpLimiter("capacity", new SenderRoster(), 1, 0, log));
        UpstreamEligibility eligibility = new UpstreamEligibility(regions(), new ZoneEvacuations(log), limits);
        UpstreamSelector selector = new UpstreamSelector(table, eligibility, zone(0), regions());
        return ResourceMeter.medianCpuUs(() -> {
                    for (int i = 0; i < CHOICES; i++) {
                        selector.choose(queries.get(i % queries.size())).orElseThrow();
                    }
                })
                / CHOICES;
    }

    private List<UpstreamQuery> queries(int prefixTokens, LatencyClass latencyClass) {
        List<UpstreamQuery> queries = new ArrayList<>();
        for (int i = 0; i < PROMPTS; i++) {
            Prompt prompt = Prompt.of(
                    SERVICE,
                    List.of(new Prompt.Part("prefix-" + i, prefixTokens), new Prompt.Part("unique-" + i, 300)));
            queries.add(query(prompt, latencyClass));
        }
        return queries;
    }

    private UpstreamQuery query(Prompt prompt, LatencyClass latencyClass) {
        return new UpstreamQuery(
                SERVICE, prompt, latencyClass, 1_200, 200, RegionConstraint.NONE, Set.of(), timeSource.monotonicMs());
    }

    private UpstreamTable table(int upstreams) {
        UpstreamTable table = new UpstreamTable(
                PREFIX, SelectorGroup::decode, new HttpConnector(null, new MessageMemoryLimit(1)), timeSource, log);
        List<StoreItem> items = new ArrayList<>();
        List<LoadReport> reports = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            String id = "upstream-" + i;
            items.add(new StoreItem(PREFIX + id, zone(i % ZONES).getBytes(), 1, 1, 0));
            reports.add(new LoadReport(id, i % 10, 100));
        }
        table.onSnapshot(new StoreSnapshot(items, 1), 0);
        table.mergeLoadReports(reports);
        table.all().forEach(this::observe);
        return table;
    }

    /** Lets the model of the service learn, so that engines are chosen by cost. */
    private void observe(Upstream upstream) {
        EngineEstimator estimator = upstream.engine().estimator();
        long nowMs = timeSource.monotonicMs();
        for (int tokens = 0; tokens < 10_000; tokens += 1_000) {
            estimator.recordFirstEvent(tokens, 10 + tokens / 80.0, false, nowMs);
            estimator.recordEvents(tokens / 1_000.0, 4, 20, nowMs);
        }
    }

    private static UpstreamRecord decode(String id, byte[] zone) {
        return new UpstreamRecord(
                id,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 9),
                new String(zone),
                SLOTS,
                false,
                Market.GUARANTEED,
                1,
                0);
    }

    private static String zone(int number) {
        return "zone-" + number;
    }

    private static Map<String, String> regions() {
        Map<String, String> regions = new HashMap<>();
        for (int i = 0; i < ZONES; i++) {
            regions.put(zone(i), "region-" + i % 2);
        }
        return regions;
    }
}
