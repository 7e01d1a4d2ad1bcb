import java.io.IOException;

/** The platform's interface for usage reports and orders; takes every call. */
final class Cloud {
    final Listener listener;

    Cloud(String ip, Record record) throws IOException {
        listener = new Listener(ip, 0, (request, socket, in) -> {
            record.line("platform gets " + request.start + " from " + request.header("X-Duty-Holder") + ", token "
                    + request.header("X-Fencing-Token") + " " + request.text());
            socket.getOutputStream()
                    .write(Message.format(
                            "HTTP/1.1 200 OK", "{}".getBytes(), "Content-Type", "application/json"));
            return true;
        });
    }
}
