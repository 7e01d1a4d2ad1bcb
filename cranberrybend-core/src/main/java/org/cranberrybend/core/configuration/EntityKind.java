package org.cranberrybend.core.configuration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import org.cranberrybend.core.account.ClientAccount;
import org.cranberrybend.core.account.ModelDefinition;
import org.cranberrybend.core.account.RouteRule;
import org.cranberrybend.core.account.Template;

/** Kind of a configuration entity, with the type that its JSON is parsed into. */
public enum EntityKind {
    TEMPLATE(Template.class),
    ACCOUNT(ClientAccount.class),
    ROUTE(RouteRule.class),
    MODEL(ModelDefinition.class),
    ZONE(ZonePolicy.class),
    SETTING(JsonNode.class);

    private final Class<?> recordType;

    EntityKind(Class<?> recordType) {
        this.recordType = recordType;
    }

    /** Returns the kind with the given lower-case name. */
    @JsonCreator
    public static EntityKind of(String wireName) {
        for (EntityKind kind : values()) {
            if (kind.wireName().equals(wireName)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("unknown entity kind: " + wireName);
    }

    /** Returns the lower-case name used in JSON. */
    @JsonValue
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Parses the JSON of an entity.
     *
     * @throws IllegalArgumentException if a field is unknown, missing or out of range
     */
    public Object read(JsonNode value) {
        return CanonicalJson.mapper().convertValue(value, recordType);
    }
}
