package org.cranberrybend.router;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Golden files beside the tests. */
final class Golden {
    private Golden() {}

    static String read(String name) throws IOException {
        try (InputStream in = Golden.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
