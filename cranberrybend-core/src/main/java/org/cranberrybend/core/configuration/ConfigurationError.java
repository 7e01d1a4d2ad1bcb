package org.cranberrybend.core.configuration;

/**
 * One reason why a configuration is invalid.
 *
 * @param path entity and field, such as {@code template/gate}
 * @param message what is wrong with the value, and the allowed range
 */
public record ConfigurationError(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
