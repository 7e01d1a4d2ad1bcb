package org.cranberrybend.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.cranberrybend.runtime.http.HttpResult;

/** HTTP client for the platform's instance list. */
public final class InstanceListClient implements InstanceList, AutoCloseable {
    private static final long READ_TIMEOUT_MS = 2_000;

    private final PlatformHttpClient client;

    /** Creates a client for the platform at the given address. */
    public InstanceListClient(URI platformUri) {
        this.client = new PlatformHttpClient(platformUri, READ_TIMEOUT_MS);
    }

    @Override
    public List<PlatformInstance> instances() throws PlatformException {
        HttpResult result = client.call("GET", "/v1/instances", null);
        if (result.status() != 200) {
            throw new PlatformException("GET /v1/instances", result.status());
        }
        JsonNode list = PlatformHttpClient.json("GET /v1/instances", result);
        if (!list.isArray()) {
            throw new PlatformException("GET /v1/instances: response is not an array", CallOutcome.UNKNOWN);
        }
        List<PlatformInstance> instances = new ArrayList<>();
        list.forEach(each -> instances.add(toInstance(each)));
        return List.copyOf(instances);
    }

    private static PlatformInstance toInstance(JsonNode node) {
        boolean engine = "engine".equals(node.path("kind").asText());
        List<String> services = new ArrayList<>();
        if (engine) {
            node.path("models").forEach(model -> services.add(model.asText()));
        } else if (!node.path("service").asText().isEmpty()) {
            services.add(node.path("service").asText());
        }
        return new PlatformInstance(
                node.path("id").asText(),
                "entry".equals(node.path("role").asText()),
                node.path("zone").asText(),
                node.path("region").asText(),
                "leaving".equals(node.path("state").asText()),
                node.path("host").asText(),
                node.path("port").asInt(),
                engine,
                services,
                node.path("capacity_slots").asInt(1),
                "preemptible".equals(node.path("market").asText()),
                node.path("checks_fencing").asBoolean());
    }

    @Override
    public void close() {
        client.close();
    }
}
