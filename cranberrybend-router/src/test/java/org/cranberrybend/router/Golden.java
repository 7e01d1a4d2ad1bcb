package org.cranberrybend.router;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads golden files from the test resources. */
final class Golden {
    private Golden() {}

    static String read(String name) throws IOException {
        try (InputStream in = Golden.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
