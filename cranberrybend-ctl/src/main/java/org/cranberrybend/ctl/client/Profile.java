package org.cranberrybend.ctl.client;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cranberrybend.core.configuration.CanonicalJson;
import org.cranberrybend.runtime.lifecycle.ExitCode;

/**
 * Addresses and credentials for the operator API, read from the JSON file named by {@code --profile} or the environment
 * variable {@code CRANBERRYBEND_PROFILE}.
 *
 * @param controllers base URIs of the operator API of controllers, in the order in which they are tried
 * @param operatorToken bearer token of the operator
 */
public record Profile(List<URI> controllers, String operatorToken) {
    public Profile {
        controllers = controllers == null ? List.of() : List.copyOf(controllers);
        if (controllers.isEmpty()) {
            throw new IllegalArgumentException("controllers must name at least one address");
        }
        if (operatorToken == null || operatorToken.isEmpty()) {
            throw new IllegalArgumentException("operator_token is missing");
        }
    }

    /** Reads a profile file. */
    public static Profile read(Path file) throws CommandException {
        try {
            return CanonicalJson.mapper().readValue(Files.readString(file), Profile.class);
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "profile " + file + " cannot be read: " + e.getMessage());
        }
    }
}
