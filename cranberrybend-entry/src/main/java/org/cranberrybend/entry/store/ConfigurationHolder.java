package org.cranberrybend.entry.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cranberrybend.core.event.EventCode;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.entry.port.Decoder;

/**
 * Holds the configuration in force in this process. Its version only increases; a value that cannot be decoded is
 * ignored. Confined to the event loop.
 */
public final class ConfigurationHolder {
    private final Decoder<RoutingConfiguration> decoder;
    private final DecisionLog log;
    private final List<Consumer<RoutingConfiguration>> listeners = new ArrayList<>();
    private RoutingConfiguration current;
    private byte[] storedBytes = new byte[0];

    /** Creates a holder without a configuration. */
    public ConfigurationHolder(Decoder<RoutingConfiguration> decoder, DecisionLog log) {
        this.decoder = decoder;
        this.log = log;
    }

    /** Adds a listener that receives each later configuration. */
    public void onChange(Consumer<RoutingConfiguration> listener) {
        listeners.add(listener);
    }

    /** Returns the configuration in force. */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the version in force; 0 without a configuration. */
    public long version() {
        return current == null ? 0 : current.version();
    }

    /** Returns the configuration in force as stored; empty without a configuration. */
    public byte[] storedBytes() {
        return storedBytes;
    }

    /** Offers a configuration as stored; it replaces the current one if its version is higher. */
    public void offer(String source, byte[] text) {
        RoutingConfiguration offered;
        try {
            offered = decoder.decode(source, text);
        } catch (JsonFormatException | RuntimeException e) {
            log.record(EventCode.CONFIGURATION_UNREADABLE, source, "cause", e.getMessage(), "kept_version", version());
            return;
        }
        if (offered.version() <= version()) {
            return;
        }
        current = offered;
        storedBytes = text;
        log.record(EventCode.CONFIGURATION_ACCEPTED, Long.toString(offered.version()), "source", source);
        listeners.forEach(listener -> listener.accept(offered));
    }
}
