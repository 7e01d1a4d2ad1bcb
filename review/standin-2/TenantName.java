import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator adds two tenants whose names have letters beyond Latin-1. */
final class TenantName extends Case {
    private static final String FIRST = "K\u0151vári";
    private static final String SECOND = "K\u0171vári";

    /** Tenant that a worker was told, by attempt; as the bytes of the header in hexadecimal. */
    private final Map<String, String> told = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        main(new TenantName(), arguments[0]);
    }

    private static String hex(byte[] bytes) {
        StringBuilder out = new StringBuilder();
        for (byte each : bytes) {
            out.append(String.format("%02x", each & 0xff));
        }
        return out.toString();
    }

    @Override
    int play() throws Exception {
        zones.put("szeged-a", "alfold");
        configuration.plainService("rendeles", 110);
        configuration.route("r-order", "/lohu930/", "non_idempotent", 1200, "rendeles", 1);
        new Worker(store, record, "127.0.0.1", "i-1", "rendeles", "szeged-a", 6, (worker, request, socket, in) -> {
            worker.run(request);
            String tenant = String.valueOf(request.header("X-Tenant"));
            told.put(request.header("X-Attempt-Id"), hex(tenant.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1)));
            record.line("X-Tenant of " + request.header("X-Attempt-Id") + " is " + tenant);
            worker.respond(socket, request, 200, "done".getBytes());
            return true;
        });
        store.write("op/config", configuration.next());
        Daemon daemon = addDaemon("front-szeged-a-1", "szeged-a");
        if (!startDaemons(430)) {
            return NOT_RUN;
        }
        String first = trouble ? FIRST : "fida11";
        String second = trouble ? SECOND : "fida12";
        configuration.tenants.put(first, List.of("key-of-the-first-0001"));
        configuration.tenants.put(second, List.of("key-of-the-second-002"));
        store.write("op/config", configuration.next());
        Thread.sleep(3_000);
        List<String> wrong = new ArrayList<>();
        check(daemon, "a1", "key-of-the-first-0001", first, wrong);
        check(daemon, "a2", "key-of-the-second-002", second, wrong);
        check(daemon, "a3", Configuration.KEY, Configuration.TENANT, wrong);
        boolean same = told.get("a1") != null && told.get("a1").equals(told.get("a2"));
        record.say(wrong.size() + " of 3 requests ran with another X-Tenant than the name of their tenant: " + wrong
                + (same ? "; both new tenants have the same X-Tenant" : ""));
        return wrong.isEmpty() ? HELD : BROKEN;
    }

    private void check(Daemon daemon, String attempt, String key, String tenant, List<String> wrong)
            throws IOException {
        try (Client client = new Client(daemon, 0)) {
            client.send(
                    "POST /lohu930/2f HTTP/1.1",
                    "order".getBytes(),
                    "Host",
                    Configuration.HOST,
                    "X-Attempt-Id",
                    attempt,
                    "X-Deadline-Ms",
                    "2500",
                    "Authorization",
                    "Bearer " + key);
            Message answer = client.receive();
            record.line(attempt + " with the key of " + tenant + " is answered: " + (answer == null ? "-" : answer.start));
        }
        String got = told.get(attempt);
        // Either encoding of the name is taken for right.
        boolean right = got != null
                && (got.equals(hex(tenant.getBytes(java.nio.charset.StandardCharsets.UTF_8)))
                        || tenant.chars().allMatch(each -> each < 256)
                                && got.equals(hex(tenant.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1))));
        if (got != null && !right) {
            wrong.add(attempt + " " + got);
        }
    }
}
