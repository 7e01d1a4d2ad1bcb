package org.cranberrybend.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrybend.core.account.ApiKey;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.account.ModelDefinition;
import org.cranberrybend.core.account.RouteRule;
import org.cranberrybend.core.account.Template;

/**
 * Typed, indexed and immutable form of a {@link ConfigurationState}, built once per revision and read by every
 * request.
 */
public final class ConfigurationView {
    private final long revision;
    /** Each readable entity; reused by the next view as long as the entity's JSON is the same object. */
    private final Map<EntityId, ReadEntity> readEntities;

    private final Map<String, Template> templates = new HashMap<>();
    private final Map<String, ClientAccount> accounts = new HashMap<>();
    private final Map<String, RouteRule> routes = new HashMap<>();
    private final Map<String, ModelDefinition> models = new HashMap<>();
    private final Map<String, ZonePolicy> zones = new HashMap<>();
    private final Map<String, KeyOwner> ownersByKeyId = new HashMap<>();
    private final List<ConfigurationError> faults = new ArrayList<>();

    /**
     * A key and the client account that holds it.
     *
     * @param account name of the client account
     * @param key stored form of the key
     */
    public record KeyOwner(String account, ApiKey key) {}

    private record ReadEntity(JsonNode value, Object record) {}

    /** Builds the view; entities that cannot be read are left out and listed in {@link #errors()}. */
    public ConfigurationView(ConfigurationState state) {
        this(state, Map.of());
    }

    private ConfigurationView(ConfigurationState state, Map<EntityId, ReadEntity> known) {
        this.revision = state.revision();
        this.readEntities = new HashMap<>(2 * state.entities().size());
        state.entities().forEach((id, value) -> {
            try {
                ReadEntity entity = known.get(id);
                if (entity == null || entity.value() != value) {
                    entity = new ReadEntity(value, id.kind().read(value));
                }
                readEntities.put(id, entity);
                add(id, entity.record());
            } catch (IllegalArgumentException e) {
                faults.add(new ConfigurationError(id.toString(), rootMessage(e)));
            }
        });
    }

    /**
     * Returns the view of a later state. Only entities that changed are read: reading 13,000 client accounts took 60 to
     * 100 ms of CPU time.
     */
    public ConfigurationView next(ConfigurationState nextState) {
        return new ConfigurationView(nextState, readEntities);
    }

    private void add(EntityId id, Object entity) {
        if (entity instanceof Template) {
            templates.put(id.name(), (Template) entity);
        } else if (entity instanceof ClientAccount) {
            addAccount(id, (ClientAccount) entity);
        } else if (entity instanceof RouteRule) {
            routes.put(id.name(), (RouteRule) entity);
        } else if (entity instanceof ModelDefinition) {
            models.put(id.name(), (ModelDefinition) entity);
        } else if (entity instanceof ZonePolicy) {
            zones.put(id.name(), (ZonePolicy) entity);
        }
    }

    private void addAccount(EntityId id, ClientAccount account) {
        accounts.put(id.name(), account);
        for (ApiKey key : account.keys()) {
            KeyOwner earlier = ownersByKeyId.putIfAbsent(key.keyId(), new KeyOwner(id.name(), key));
            if (earlier != null) {
                faults.add(new ConfigurationError(
                        id.toString(), "key_id " + key.keyId() + " is used by account/" + earlier.account()));
            }
        }
    }

    private static String rootMessage(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        String message = cause.getMessage();
        return message == null
                ? cause.getClass().getSimpleName()
                : message.lines().findFirst().orElse(message);
    }

    /** Returns the revision this view was built from. */
    public long revision() {
        return revision;
    }

    /** Returns the faults of single entities. */
    public List<ConfigurationError> errors() {
        return List.copyOf(faults);
    }

    /** Returns the template with the given name. */
    public Optional<Template> template(String name) {
        return Optional.ofNullable(templates.get(name));
    }

    /** Returns the client account with the given name. */
    public Optional<ClientAccount> account(String name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /** Returns the key with the given public identifier and its owner. */
    public Optional<KeyOwner> keyOwner(String keyId) {
        return Optional.ofNullable(ownersByKeyId.get(keyId));
    }

    /** Returns all client accounts by name. */
    public Map<String, ClientAccount> accounts() {
        return Map.copyOf(accounts);
    }

    /** Returns all templates by name. */
    public Map<String, Template> templates() {
        return Map.copyOf(templates);
    }

    /** Returns all routes by name. */
    public Map<String, RouteRule> routes() {
        return Map.copyOf(routes);
    }

    /** Returns all models by name. */
    public Map<String, ModelDefinition> models() {
        return Map.copyOf(models);
    }

    /** Returns the policy of an availability zone. */
    public Optional<ZonePolicy> zone(String name) {
        return Optional.ofNullable(zones.get(name));
    }

    /** Returns the route with the longest path prefix that matches, with its name. */
    public Optional<Map.Entry<String, RouteRule>> routeFor(String path) {
        return routes.entrySet().stream()
                .filter(each -> matches(each.getValue().pathPrefix(), path))
                .max(Comparator.comparingInt(
                        each -> each.getValue().pathPrefix().length()));
    }

    private static boolean matches(String prefix, String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        return path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/';
    }
}
