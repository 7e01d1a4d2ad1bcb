package org.cranberrybend.core.configuration;

/**
 * A validation error of a configuration.
 *
 * @param path entity and optional field, such as {@code template/gate.models}
 * @param message description of the error
 */
public record ConfigurationError(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
