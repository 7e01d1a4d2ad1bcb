package org.cranberrybend.router.dispatch;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.cranberrybend.core.account.KeyHasher;
import org.cranberrybend.core.configuration.ConfigurationView;
import org.cranberrybend.core.error.ErrorCode;
import org.cranberrybend.core.error.RequestFailedException;

/**
 * Removes callers' credentials from forwarded requests, wherever they were sent. Trailers are never forwarded.
 *
 * <p>Headers and query parameters that contain text in the format of an API key, or a credential sent elsewhere in the
 * request, are removed. Nothing can be removed from a path or body without changing its meaning, so a request is
 * refused if either contains a credential sent elsewhere, the path any text in the key format, or the body a valid key.
 */
public final class KeyStripper {
    private static final Pattern KEY_PATTERN =
            Pattern.compile("cbk_[A-Za-z0-9._-]+?_[A-Za-z0-9._~+/=-]+", Pattern.CASE_INSENSITIVE);
    private static final Set<String> NOT_FORWARDED_REQUEST_HEADERS = caseInsensitiveSet(List.of(
            // Headers that carry credentials.
            "Authorization",
            "Proxy-Authorization",
            "X-Api-Key",
            "Cookie",
            // Hop-by-hop headers and headers that the router sets or consumes.
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Host",
            "Content-Length",
            "Expect",
            "X-Request-Id",
            "X-Request-Class"));

    private final ConfigurationView view;
    private final KeyHasher keyHasher;

    KeyStripper(ConfigurationView view, KeyHasher keyHasher) {
        this.view = view;
        this.keyHasher = keyHasher;
    }

    private static Set<String> caseInsensitiveSet(List<String> names) {
        Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(names);
        return set;
    }

    /** Returns the headers to forward; {@code keyHeaders} are additional headers in which callers send keys. */
    List<Header> forwardedHeaders(List<Header> received, List<String> keyHeaders) {
        Set<String> dropped = caseInsensitiveSet(keyHeaders);
        for (Header header : received) {
            if (header.getName().equalsIgnoreCase(HttpHeaders.CONNECTION) && header.getValue() != null) {
                for (String name : header.getValue().split(",")) {
                    dropped.add(name.strip());
                }
            }
        }
        List<String> credentials = sentCredentials(received, keyHeaders);
        List<Header> forwarded = new ArrayList<>();
        for (Header header : received) {
            boolean dropName =
                    NOT_FORWARDED_REQUEST_HEADERS.contains(header.getName()) || dropped.contains(header.getName());
            if (!dropName
                    && !containsKey(header.getName(), credentials)
                    && !containsKey(header.getValue(), credentials)) {
                forwarded.add(header);
            }
        }
        return forwarded;
    }

    /** Returns the raw query without the parameters that contain a key or credential. */
    String forwardedQuery(String rawQuery, List<String> credentials) {
        List<String> kept = new ArrayList<>();
        for (String parameter : rawQuery.split("&")) {
            if (!parameter.isEmpty()
                    && !containsKey(decode(parameter), credentials)
                    && !containsKey(parameter, credentials)) {
                kept.add(parameter);
            }
        }
        return String.join("&", kept);
    }

    /** Returns the credentials sent in headers, so that they are recognized elsewhere even without the key format. */
    static List<String> sentCredentials(List<Header> received, List<String> keyHeaders) {
        Set<String> credentialHeaders = caseInsensitiveSet(keyHeaders);
        credentialHeaders.add("Authorization");
        credentialHeaders.add("Proxy-Authorization");
        credentialHeaders.add("X-Api-Key");
        List<String> credentials = new ArrayList<>();
        for (Header header : received) {
            if (credentialHeaders.contains(header.getName()) && header.getValue() != null) {
                String[] words = header.getValue().strip().split("\\s+");
                String last = words[words.length - 1];
                if (last.length() >= MIN_CREDENTIAL_LENGTH) {
                    credentials.add(last);
                }
            }
        }
        return credentials;
    }

    // Shorter values occur in other headers by coincidence.
    private static final int MIN_CREDENTIAL_LENGTH = 8;

    private static boolean containsKey(String text, List<String> credentials) {
        if (text == null) {
            return false;
        }
        String lower = text.toLowerCase(Locale.ROOT);
        return KEY_PATTERN.matcher(text).find()
                || credentials.stream().anyMatch(credential -> lower.contains(credential.toLowerCase(Locale.ROOT)));
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    /** Refuses a path that contains text in the format of a key or a credential sent in a header. */
    void checkPath(String path, List<String> credentials) throws RequestFailedException {
        if (containsKey(path, credentials) || containsKey(decode(path), credentials)) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_FIELD, "path", "must not contain an API key");
        }
    }

    /** Refuses a body that contains a credential sent in a header, or a valid key of any client account. */
    public void checkBody(byte[] body, List<String> credentials) throws RequestFailedException {
        // One character per byte: keys are ASCII, so the encoding of the rest does not matter.
        String text = new String(body, StandardCharsets.ISO_8859_1);
        boolean found = credentials.stream().anyMatch(text::contains);
        Matcher matcher = KEY_PATTERN.matcher(text);
        while (!found && matcher.find()) {
            found = isValidKey(matcher.group());
        }
        if (found) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_FIELD, "body", "must not contain an API key");
        }
    }

    private boolean isValidKey(String text) {
        return KeyHasher.keyId(text)
                .flatMap(view::keyOwner)
                .filter(owner -> keyHasher.matches(owner.key(), text))
                .isPresent();
    }
}
