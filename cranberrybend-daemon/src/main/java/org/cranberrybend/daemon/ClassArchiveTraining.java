package org.cranberrybend.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.cranberrybend.core.time.TimeSource;
import org.cranberrybend.entry.EntryService;
import org.cranberrybend.entry.EntrySettings;
import org.cranberrybend.entry.http.HttpServer;
import org.cranberrybend.entry.http.MessageMemoryLimit;
import org.cranberrybend.entry.http.ServerLimits;
import org.cranberrybend.entry.json.JsonFormatException;
import org.cranberrybend.entry.log.DecisionLog;
import org.cranberrybend.platform.PlatformPorts;
import org.cranberrybend.platform.TrainingPlatform;

/**
 * Training run for the class archive (AppCDS): runs the program on loopback for a short time, so that the build can
 * archive the classes that it loads. Each restart is billed for the CPU time of loading classes; reading them from the
 * archive takes a fraction of that time.
 */
final class ClassArchiveTraining {
    private static final long STARTUP_WAIT_MS = 900;
    private static final int REQUESTS = 6;
    private static final ServerLimits LIMITS = new ServerLimits(8_192, 65_536, 1_000, 5_000);

    private final TimeSource timeSource = TimeSource.system();
    private InetSocketAddress platformAddress;

    void run() throws InterruptedException, IOException, JsonFormatException {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        TrainingPlatform platform = new TrainingPlatform();
        DecisionLog log = new DecisionLog("training", 1, timeSource, OutputStream.nullOutputStream());
        HttpServer server =
                new HttpServer(loop, timeSource, platform, () -> LIMITS, new MessageMemoryLimit(1 << 20), log);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        platformAddress =
                (InetSocketAddress) server.listen(any).sync().channel().localAddress();
        platform.listUpstream(platformAddress);
        int callers = freePort();
        EntrySettings settings = settings(callers);
        log.start();
        EntryService service = new EntryService(settings, new PlatformPorts(), log);
        service.start();
        TimeUnit.MILLISECONDS.sleep(STARTUP_WAIT_MS);
        for (int i = 0; i < REQUESTS; i++) {
            call(callers, i);
        }
        TimeUnit.MILLISECONDS.sleep(STARTUP_WAIT_MS);
        System.exit(0);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static void call(int port, int number) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(TrainingPlatform.request(number).getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private EntrySettings settings(int callers) throws IOException, JsonFormatException {
        String store = "127.0.0.1:" + platformAddress.getPort();
        String json = "{\"instance\":\"training\",\"availability_zone\":\"z\",\"region\":\"g\","
                + "\"regions_by_zone\":{\"z\":\"g\"},\"listen\":{\"callers\":\"127.0.0.1:" + callers
                + "\",\"readiness\":\"127.0.0.1:" + freePort() + "\",\"control\":\"127.0.0.1:" + freePort()
                + "\",\"metrics\":\"127.0.0.1:" + freePort() + "\"},\"seeds\":[\"" + store
                + "\"],\"store\":{\"address\":\"" + store
                + "\"},\"duties\":{\"address\":\"" + store
                + "\",\"names\":[]},\"memory_mb\":200,\"shutdown_limit_s\":1,"
                + "\"retry_budget\":{\"ratio\":0.2,\"allowance\":50},\"lease_ms\":3000,"
                + "\"usage\":{\"window_s\":1,\"due_s\":3}}";
        return EntrySettings.parse(json.getBytes(StandardCharsets.UTF_8));
    }
}
