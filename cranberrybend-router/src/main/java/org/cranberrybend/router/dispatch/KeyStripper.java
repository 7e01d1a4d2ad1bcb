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
 * Removes callers' keys from what is forwarded to upstreams, in whatever place they were sent. Trailers are never
 * forwarded.
 *
 * <p>Headers and query parameters that hold any text in the form of a key are removed. A path or body cannot lose a
 * part of itself, so a request with a valid key in one of them is refused.
 */
public final class KeyStripper {
    private static final Pattern KEY =
            Pattern.compile("cbk_[A-Za-z0-9._-]+?_[A-Za-z0-9._~+/=-]+", Pattern.CASE_INSENSITIVE);
    private static final Set<String> NOT_FORWARDED = caseless(List.of(
            // Places of keys.
            "Authorization",
            "Proxy-Authorization",
            "X-Api-Key",
            "Cookie",
            // Headers of this connection or of the router.
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

    private static Set<String> caseless(List<String> names) {
        Set<String> set = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        set.addAll(names);
        return set;
    }

    /** Returns the headers that are forwarded; {@code keyHeaders} are further names in which callers send keys. */
    List<Header> headers(List<Header> received, List<String> keyHeaders) {
        Set<String> dropped = caseless(keyHeaders);
        for (Header header : received) {
            if (header.getName().equalsIgnoreCase(HttpHeaders.CONNECTION) && header.getValue() != null) {
                for (String name : header.getValue().split(",")) {
                    dropped.add(name.strip());
                }
            }
        }
        List<String> secrets = secrets(received, keyHeaders);
        List<Header> forwarded = new ArrayList<>();
        for (Header header : received) {
            boolean dropName = NOT_FORWARDED.contains(header.getName()) || dropped.contains(header.getName());
            if (!dropName && !holdsKey(header.getName(), secrets) && !holdsKey(header.getValue(), secrets)) {
                forwarded.add(header);
            }
        }
        return forwarded;
    }

    /** Returns the raw query without the parameters that hold a key. */
    String query(String rawQuery, List<String> secrets) {
        List<String> kept = new ArrayList<>();
        for (String parameter : rawQuery.split("&")) {
            if (!parameter.isEmpty() && !holdsKey(decode(parameter), secrets) && !holdsKey(parameter, secrets)) {
                kept.add(parameter);
            }
        }
        return String.join("&", kept);
    }

    /** Returns the values sent in the places of keys, so that a value is recognized even if it has no key's form. */
    static List<String> secrets(List<Header> received, List<String> keyHeaders) {
        Set<String> places = caseless(keyHeaders);
        places.add("Authorization");
        places.add("Proxy-Authorization");
        places.add("X-Api-Key");
        List<String> secrets = new ArrayList<>();
        for (Header header : received) {
            if (places.contains(header.getName()) && header.getValue() != null) {
                String[] words = header.getValue().strip().split("\\s+");
                String last = words[words.length - 1];
                if (last.length() >= MIN_SECRET_LENGTH) {
                    secrets.add(last);
                }
            }
        }
        return secrets;
    }

    // Shorter values occur in other headers by chance.
    private static final int MIN_SECRET_LENGTH = 8;

    private static boolean holdsKey(String text, List<String> secrets) {
        if (text == null) {
            return false;
        }
        String lower = text.toLowerCase(Locale.ROOT);
        return KEY.matcher(text).find()
                || secrets.stream().anyMatch(secret -> lower.contains(secret.toLowerCase(Locale.ROOT)));
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    /** Refuses a path that holds a key or any value sent in the place of one. */
    void checkPath(String path, List<String> secrets) throws RequestFailedException {
        if (holdsKey(path, secrets) || holdsKey(decode(path), secrets)) {
            throw RequestFailedException.notRun(ErrorCode.INVALID_FIELD, "path", "must not contain an API key");
        }
    }

    /** Refuses a body that holds a value sent in the place of a key, or a key of any client account. */
    public void checkBody(byte[] body, List<String> secrets) throws RequestFailedException {
        // One character per byte: keys are ASCII, and any encoding of the rest is preserved.
        String text = new String(body, StandardCharsets.ISO_8859_1);
        boolean found = secrets.stream().anyMatch(text::contains);
        Matcher matcher = KEY.matcher(text);
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
