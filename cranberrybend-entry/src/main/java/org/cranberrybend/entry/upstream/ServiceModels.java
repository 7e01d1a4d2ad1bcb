package org.cranberrybend.entry.upstream;

import java.util.HashMap;
import java.util.Map;
import org.cranberrybend.core.balancing.ServiceLoad;
import org.cranberrybend.core.engine.EngineCapacity;
import org.cranberrybend.core.engine.ServiceEngineModel;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.configuration.ServiceDefinition;

/** What is learned of the upstreams of each service: load, and the latency of engines. Confined to the event loop. */
public final class ServiceModels {
    private final Map<String, ServiceEngineModel> byService = new HashMap<>();
    private final Map<String, ServiceLoad> loadByService = new HashMap<>();
    private final Map<String, EngineCapacity> capacities = new HashMap<>();

    /** Applies the capacities of a configuration, and removes the models of services that it does not contain. */
    public void apply(RoutingConfiguration configuration) {
        capacities.clear();
        for (ServiceDefinition service : configuration.services()) {
            service.engine()
                    .ifPresent(engine ->
                            capacities.put(service.name(), new EngineCapacity(engine.slots(), engine.kvCacheTokens())));
        }
        byService.keySet().removeIf(name -> configuration.service(name).isEmpty());
        loadByService.keySet().removeIf(name -> configuration.service(name).isEmpty());
        byService.forEach(this::setCapacity);
    }

    ServiceLoad load(String service) {
        return loadByService.computeIfAbsent(service, name -> new ServiceLoad());
    }

    ServiceEngineModel engines(String service) {
        return byService.computeIfAbsent(service, name -> {
            ServiceEngineModel model = new ServiceEngineModel();
            setCapacity(name, model);
            return model;
        });
    }

    private void setCapacity(String service, ServiceEngineModel model) {
        EngineCapacity capacity = capacities.get(service);
        if (capacity != null) {
            model.setCapacity(capacity);
        }
    }

    /** Returns the number of services whose engines have been observed sufficiently for an estimate. */
    public long learnedCount() {
        return byService.values().stream().filter(ServiceEngineModel::isLearned).count();
    }
}
