package org.cranberrybend.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.MessageHeaders;

/** Rules on header fields that hold for every message. */
public final class HeaderRules {
    private static final Set<String> ONE_CONNECTION_ONLY = Set.of(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HeaderRules() {}

    /** Returns the headers that are forwarded: all but those that concern one connection or its framing. */
    public static List<Header> endToEnd(MessageHeaders message) {
        Set<String> named = new HashSet<>();
        for (Header header : message.getHeaders(HttpHeaders.CONNECTION)) {
            for (String name : header.getValue().split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<Header> forwarded = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            String name = header.getName().toLowerCase(Locale.ROOT);
            if (!ONE_CONNECTION_ONLY.contains(name) && !named.contains(name)) {
                forwarded.add(header);
            }
        }
        return forwarded;
    }

    /** Returns whether the message says that its sender closes the connection after it. */
    static boolean announcesClose(MessageHeaders message) {
        for (Header header : message.getHeaders(HttpHeaders.CONNECTION)) {
            for (String token : header.getValue().split(",")) {
                if (token.trim().equalsIgnoreCase(HeaderElements.CLOSE)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether the names and values can be written on one line each. HttpCore's parser accepts control
     * characters, which another parser could take for the end of a line.
     */
    static boolean areWellFormed(MessageHeaders message) {
        for (Header header : message.getHeaders()) {
            if (!isToken(header.getName()) || hasControlCharacter(header.getValue())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isToken(String name) {
        for (int i = 0; i < name.length(); i++) {
            char each = name.charAt(i);
            if (each <= ' ' || each >= 0x7f || "()<>@,;:\\\"/[]?={}".indexOf(each) >= 0) {
                return false;
            }
        }
        return !name.isEmpty();
    }

    private static boolean hasControlCharacter(String value) {
        if (value == null) {
            return false;
        }
        for (int i = 0; i < value.length(); i++) {
            char each = value.charAt(i);
            if (each < ' ' && each != '\t' || each == 0x7f) {
                return true;
            }
        }
        return false;
    }
}
