package org.cranberrybend.runtime.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Routes requests to endpoints by path and method, for the admin port, the operator API and the stand-ins.
 *
 * <p>A path pattern may have placeholders: {@code {name}} matches one segment, {@code {name*}} one or more segments.
 */
public final class JsonRouter implements HttpRequestHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{([a-z_]+)(\\*?)}");
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final List<Route> routes = new ArrayList<>();

    /** Handles the requests with one path pattern and method. */
    @FunctionalInterface
    public interface Endpoint {
        /**
         * Handles a request.
         *
         * @throws HttpStatusException to respond with an error status
         */
        JsonResponse handle(JsonRequest request) throws HttpStatusException;
    }

    private record Route(String method, Pattern pathPattern, List<String> parameterNames, Endpoint endpoint) {}

    /** Adds an endpoint and returns this router. Endpoints added earlier take precedence. */
    public JsonRouter on(String method, String pathPattern, Endpoint endpoint) {
        List<String> parameterNames = new ArrayList<>();
        Matcher matcher = PLACEHOLDER.matcher(pathPattern);
        StringBuilder regex = new StringBuilder();
        int end = 0;
        while (matcher.find()) {
            regex.append(Pattern.quote(pathPattern.substring(end, matcher.start())));
            regex.append(matcher.group(2).isEmpty() ? "([^/]+)" : "(.+)");
            parameterNames.add(matcher.group(1));
            end = matcher.end();
        }
        regex.append(Pattern.quote(pathPattern.substring(end)));
        routes.add(new Route(method, Pattern.compile(regex.toString()), parameterNames, endpoint));
        return this;
    }

    @Override
    public void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        JsonResponse result;
        try {
            result = dispatch(request);
        } catch (HttpStatusException e) {
            result = JsonResponse.json(e.status(), Map.of("error", String.valueOf(e.getMessage())));
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("unexpected exception in the endpoint of %s", request.getPath());
            result = JsonResponse.json(500, Map.of("error", "internal error"));
        }
        response.setCode(result.status());
        result.headers().forEach(response::setHeader);
        if (result.status() != 204 && result.status() != 304) {
            response.setEntity(new ByteArrayEntity(result.body(), ContentType.parse(result.contentType())));
        }
    }

    private JsonResponse dispatch(ClassicHttpRequest request) throws IOException, HttpStatusException {
        URI uri;
        try {
            uri = URI.create(request.getRequestUri());
        } catch (IllegalArgumentException e) {
            throw new HttpStatusException(400, "request target is not valid");
        }
        byte[] body = readBody(request.getEntity());
        boolean pathMatched = false;
        for (Route route : routes) {
            Matcher matcher = route.pathPattern().matcher(uri.getPath());
            if (matcher.matches()) {
                pathMatched = true;
                if (route.method().equals(request.getMethod())) {
                    return route.endpoint().handle(toJsonRequest(request, uri, route, matcher, body));
                }
            }
        }
        throw pathMatched
                ? new HttpStatusException(405, "method not allowed: " + request.getMethod())
                : new HttpStatusException(404, "no such path: " + uri.getPath());
    }

    private static byte[] readBody(HttpEntity entity) throws IOException, HttpStatusException {
        if (entity == null) {
            return new byte[0];
        }
        byte[] body = entity.getContent().readNBytes(MAX_BODY_BYTES + 1);
        if (body.length > MAX_BODY_BYTES) {
            throw new HttpStatusException(413, "body exceeds " + MAX_BODY_BYTES + " bytes");
        }
        return body;
    }

    private static JsonRequest toJsonRequest(
            ClassicHttpRequest request, URI uri, Route route, Matcher matcher, byte[] body) {
        Map<String, String> pathParameters = new HashMap<>();
        for (int i = 0; i < route.parameterNames().size(); i++) {
            pathParameters.put(route.parameterNames().get(i), matcher.group(i + 1));
        }
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        return new JsonRequest(
                request.getMethod(), uri.getPath(), pathParameters, parseQuery(uri.getRawQuery()), headers, body);
    }

    private static Map<String, String> parseQuery(String rawQuery) {
        Map<String, String> query = new HashMap<>();
        if (rawQuery == null) {
            return query;
        }
        for (String pair : rawQuery.split("&")) {
            int equals = pair.indexOf('=');
            String name = equals < 0 ? pair : pair.substring(0, equals);
            String value = equals < 0 ? "" : pair.substring(equals + 1);
            query.put(
                    URLDecoder.decode(name, StandardCharsets.UTF_8), URLDecoder.decode(value, StandardCharsets.UTF_8));
        }
        return query;
    }
}
