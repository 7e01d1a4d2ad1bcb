package org.cranberrybend.controller.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cranberrybend.core.membership.Member;
import org.cranberrybend.runtime.http.BlockingHttpClient;
import org.cranberrybend.runtime.http.HttpResult;
import org.cranberrybend.wire.node.MemberDirectory;

/** Collects the events of one request from the admin ports of all members. */
public final class RequestExplainer implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    private static final long READ_TIMEOUT_MS = 3_000;
    private static final int MAX_PARALLEL_READS = 8;

    private final MemberDirectory members;
    private final BlockingHttpClient client = new BlockingHttpClient(CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS);
    private final ExecutorService executor = Executors.newFixedThreadPool(MAX_PARALLEL_READS, task -> {
        Thread thread = new Thread(task, "explain");
        thread.setDaemon(true);
        return thread;
    });

    /** Creates an explainer for the members known to this process. */
    public RequestExplainer(MemberDirectory members) {
        this.members = members;
    }

    /** Returns the events of a request ordered by timestamp, and the members that did not respond. */
    public Map<String, Object> explain(String requestId) {
        Map<String, Future<List<JsonNode>>> reads = new LinkedHashMap<>();
        for (Member member : members.members()) {
            reads.put(member.id(), executor.submit(() -> eventsOf(member, requestId)));
        }
        List<JsonNode> events = new ArrayList<>();
        List<String> unreachable = new ArrayList<>();
        reads.forEach((memberId, read) -> {
            try {
                events.addAll(read.get());
            } catch (ExecutionException e) {
                unreachable.add(memberId);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                unreachable.add(memberId);
            }
        });
        events.sort(Comparator.comparing((JsonNode each) -> each.path("stamp").asText())
                .thenComparing(each -> each.path("instance").asText())
                .thenComparing(each -> each.path("sequence").asLong()));
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("request_id", requestId);
        result.put("events", events);
        result.put("unreachable_members", unreachable);
        return result;
    }

    private List<JsonNode> eventsOf(Member member, String requestId) throws IOException {
        HttpResult result = client.get(URI.create("http://" + member.adminAddress() + "/admin/events?after=0"));
        if (!result.isSuccess()) {
            throw new IOException("status " + result.status());
        }
        List<JsonNode> found = new ArrayList<>();
        for (JsonNode event : result.json()) {
            if (event.path("subject").asText().equals(requestId)) {
                found.add(event);
            }
        }
        return found;
    }

    @Override
    public void close() {
        executor.shutdownNow();
        client.close();
    }
}
