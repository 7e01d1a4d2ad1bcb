package org.cranberrybend.integration.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cranberrybend.experiment.check.Completion;
import org.cranberrybend.experiment.check.HttpExchange;
import org.junit.jupiter.api.Test;

class GoldenSessionTest {
    private static final Pattern REQUEST_ID = Pattern.compile("X-Request-Id: (\\S+)");
    private static final Pattern DATE = Pattern.compile("Date: [^\r\n]+");

    // Detects changes of the bytes that callers receive: headers, event framing, chunks and the last event.
    @Test
    void streamingSession() throws Exception {
        try (Fleet fleet = Fleet.start("golden", FleetPlan.of(1, 1, 1, 1))) {
            Completion completion = new Completion(true, Fleet.MODEL, "Two seats in row 7", 5);
            String request =
                    HttpExchange.request("POST", completion.path(), fleet.callerHeaders(), completion.body(true));
            String response = send(fleet.member("router-1").address("caller"), request);
            Matcher requestId = REQUEST_ID.matcher(response);
            assertThat(requestId.find()).isTrue();
            String masked = request.replace(fleet.key(), "KEY")
                    + "----\r\n"
                    + DATE.matcher(response.replace(requestId.group(1), "REQUEST-ID"))
                            .replaceAll("Date: DATE");
            Path seen = Path.of("target", "fleets", "golden", "streaming-session.txt");
            Files.writeString(seen, masked);
            assertThat(masked).isEqualTo(golden());
        }
    }

    private static String send(String address, String request) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String golden() throws IOException {
        try (InputStream in = GoldenSessionTest.class.getResourceAsStream("streaming-session.txt")) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
