package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Requests whose path begins with two slashes. */
final class Targets implements CaseMain.Case {
    static final int INSTANCES = 2;

    @Override
    public boolean run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (int i = 0; i < 2; i++) {
            String id = "i-7f3a91c" + i;
            fleet.workers.add(new Worker(id, "wuno96b", 6, fleet.store, (request, output) -> {
                ran.put(request.attempt(), request.method() + " " + request.target());
                record.line("worker %s runs %s: %s %s", id, request.attempt(), request.method(), request.target());
                Worker.answer(output, 200, request, true, "", "body of " + request.attempt());
            }));
        }
        fleet.configure(
                7,
                List.of(
                        Fleet.route("r-whole", "/", "non_idempotent", "wuno96b", 2_000),
                        Fleet.route("r-part", "/lohu930/", "non_idempotent", "wuno96b", 2_000)),
                List.of("wuno96b"));
        fleet.start();
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            targets.add((trouble ? "//puxa403/" : "/puxa403/") + i);
            targets.add((trouble ? "//stock/lohu930/" : "/stock/lohu930/") + i);
        }
        int changed = 0;
        int number = 0;
        for (Entry entry : fleet.entries) {
            for (String target : targets) {
                String attempt = "9c41d07be2a3" + (1000 + number++);
                try (Client client = new Client(entry.callerPort)) {
                    client.send(Client.request("POST", target, Fleet.HOST, Fleet.headers(attempt, 4_000)));
                    Client.Response response = client.read();
                    String wanted = "POST " + target;
                    String got = ran.get(attempt);
                    boolean wrong = got != null && !got.equals(wanted);
                    changed += wrong ? 1 : 0;
                    record.line(
                            "client sent %s to %s: %s; answer %s; run as: %s%s",
                            attempt, entry.name, wanted, response, got, wrong ? "  <- another path" : "");
                }
            }
        }
        record.line("%d of %d requests ran with another path than the client's", changed, number);
        return changed > 0;
    }
}
