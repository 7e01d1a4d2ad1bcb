import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cranberrybend.platform.standin.StandInStore;

/**
 * The store is down for 6.8 seconds. Leases and the entries of the workers expire meanwhile; the entries are back within
 * two seconds of its return. Afterwards nothing else happens.
 */
public final class OutageWithLapse {
    private static final long OUTAGE_MS = 6_800;
    private static final long EXPIRY_MS = 3 * Fleet.HEARTBEAT_MS;
    /** Times after the store's return at which the workers write their entries again; two seconds are allowed. */
    private static final Map<String, Long> ENTRY_BACK_MS = new TreeMap<>(Map.of("d-1", 1_000L, "w-1", 1_700L, "w-2", 1_900L));

    private static final long CALM_MS = 15_000;
    private static final long WINDOW_MS = 5_000;
    private static final String ROUTES = Fleet.route("chat", "/stream-chat/", "streaming", 10_000, 0, "llm", 2) + ","
            + Fleet.route("draft", "/stream-draft/", "streaming", 10_000, 2, "llm", 2);
    private static final String SERVICES = "{\"name\":\"llm\",\"health_check_path\":\"/health\",\"max_connections\":620,"
            + "\"engine\":{\"slots\":128,\"kv_capacity_tokens\":925761}},"
            + "{\"name\":\"desk\",\"health_check_path\":\"/health\",\"max_connections\":110}";
    private static final String TENANT = "{\"name\":\"club\",\"api_keys\":[\"key-1\"]}";

    private record Sent(Client.Answer answer, String kind, String instance) {}

    private OutageWithLapse() {}

    private static void call(Fleet fleet, Instance instance, String kind, String tokens, String prefix, Queue<Sent> sent) {
        while (true) {
            Client.Answer answer = Client.send(
                    fleet.record,
                    instance.callersPort,
                    "POST",
                    "/stream-" + kind + "/1",
                    Map.of(
                            "Host", "review.example",
                            "X-Deadline-Ms", "10000",
                            "Authorization", "Bearer key-1",
                            "X-Model", "m",
                            "X-Token-Count", tokens,
                            "X-Prompt-Prefix", prefix),
                    "prompt".getBytes(),
                    11_000);
            sent.add(new Sent(answer, kind, instance.name));
            Threads.sleepMs(100);
        }
    }

    public static void main(String[] arguments) {
        Fleet.run(arguments, OutageWithLapse::play);
    }

    private static int play(Record record, Fleet fleet) throws Exception {
        fleet.configure(7, ROUTES, SERVICES, TENANT);
        fleet.addWorker("d-1", "desk", 20);
        fleet.addWorker("w-1", "llm", 20);
        fleet.addWorker("w-2", "llm", 20);
        if (!fleet.startInstances(3, fleet.store.address().getPort())) {
            return 2;
        }
        Threads.sleepMs(6_000);
        Queue<Sent> sent = new ConcurrentLinkedQueue<>();
        for (Instance each : fleet.instances) {
            Threads.daemon(() -> call(fleet, each, "chat", "1460,80", "aa01:350,bb01:1110", sent));
            Threads.daemon(() -> call(fleet, each, "draft", "17020,80", "aa02:13300,bb02:3720", sent));
        }
        Threads.sleepMs(3_000);
        if (Fleet.trouble()) {
            outage(record, fleet);
        }
        long backMs = record.nowMs();
        Threads.sleepMs(Fleet.CONTACT_MS);
        long calmMs = record.nowMs();
        Threads.sleepMs(CALM_MS);
        return judge(record, fleet, List.copyOf(sent), calmMs);
    }

    private static void outage(Record record, Fleet fleet) {
        fleet.setHeartbeats(false);
        fleet.store.setMode(StandInStore.Mode.BUSY);
        record.line("store is down: it answers 503");
        Threads.sleepMs(EXPIRY_MS);
        for (Worker worker : fleet.workers) {
            fleet.store.delete("servers/" + worker.id);
        }
        record.line("entries of the workers have expired");
        Threads.sleepMs(OUTAGE_MS - EXPIRY_MS);
        fleet.store.setMode(StandInStore.Mode.SERVING);
        record.line("store is back");
        long backMs = record.nowMs();
        ENTRY_BACK_MS.forEach((id, afterMs) -> {
            Threads.sleepMs(backMs + afterMs - record.nowMs());
            fleet.writeEntry(id);
            record.line("entry of worker %s is back", id);
        });
        fleet.setHeartbeats(true);
    }

    /** Checks TIER in each span of five seconds: urgent requests get nothing while larger, less urgent ones begin. */
    private static int judge(Record record, Fleet fleet, List<Sent> sent, long calmMs) {
        fleet.recordRequests(sent.stream().map(Sent::answer).toList());
        int broken = 0;
        long servedBefore = sent.stream().filter(each -> each.answer().status() == 200).count();
        for (int window = 0; window < CALM_MS / WINDOW_MS; window++) {
            long from = calmMs + window * WINDOW_MS;
            long to = from + WINDOW_MS;
            List<Sent> chats = new ArrayList<>();
            for (Sent each : sent) {
                if (each.kind().equals("chat") && each.answer().sentMs() >= from && each.answer().endMs() < to) {
                    chats.add(each);
                }
            }
            long nothing = chats.stream().filter(each -> each.answer().status() != 200).count();
            long drafts = fleet.workers.stream()
                    .flatMap(worker -> worker.runs().stream())
                    .filter(run -> run.path().contains("draft") && run.atMs() >= from && run.atMs() < to)
                    .count();
            boolean isBroken = nothing >= 10 && nothing * 12 > chats.size() && drafts > 0;
            broken += isBroken ? 1 : 0;
            record.line(
                    "%s%.1f to %.1f: %d of %d chats (priority 0, 1,460 tokens) get nothing, %d drafts (priority 2, 17,020"
                            + " tokens) begin",
                    isBroken ? "BROKEN TIER: " : "", from / 1e3, to / 1e3, nothing, chats.size(), drafts);
        }
        for (Instance instance : fleet.instances) {
            long all = sent.stream()
                    .filter(each -> each.instance().equals(instance.name) && each.answer().sentMs() >= calmMs)
                    .count();
            long refused = sent.stream()
                    .filter(each -> each.instance().equals(instance.name)
                            && each.answer().sentMs() >= calmMs
                            && each.answer().status() == 503)
                    .count();
            record.line("%s since then: %d requests, %d refused with 503", instance.name, all, refused);
        }
        if (servedBefore == 0) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
