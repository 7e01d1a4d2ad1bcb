package org.cranberrybend.entry.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.MessageHeaders;

/** Rules on header fields that apply to all messages. */
public final class HeaderRules {
    /** Hop-by-hop fields, and fields that each connection sets by itself to frame a message. */
    private static final Set<String> NOT_FORWARDED = Set.of(
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

    /** Returns the end-to-end headers, which are forwarded: all but hop-by-hop headers and those of the framing. */
    public static List<Header> endToEnd(MessageHeaders message) {
        Set<String> connectionOptions = new HashSet<>();
        for (Header header : message.getHeaders(HttpHeaders.CONNECTION)) {
            for (String option : header.getValue().split(",")) {
                connectionOptions.add(option.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<Header> forwarded = new ArrayList<>();
        for (Header header : message.getHeaders()) {
            String name = header.getName().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name) && !connectionOptions.contains(name)) {
                forwarded.add(header);
            }
        }
        return forwarded;
    }

    /** Returns whether the sender announces that it closes the connection after this message. */
    static boolean announcesClose(MessageHeaders message) {
        for (Header header : message.getHeaders(HttpHeaders.CONNECTION)) {
            for (String option : header.getValue().split(",")) {
                if (option.trim().equalsIgnoreCase(HeaderElements.CLOSE)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether method and target can be written into the request line of another request unchanged. HttpCore's
     * parser takes a carriage return within the target for a space, which would end the target at the next parser.
     */
    static boolean isRequestLineWellFormed(HttpRequest request) {
        String target = request.getRequestUri();
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) == 0x7f) {
                return false;
            }
        }
        return isToken(request.getMethod());
    }

    /**
     * Returns whether all header names are tokens and no value contains control characters. HttpCore's parser accepts
     * control characters, which another parser could interpret as the end of a line.
     */
    static boolean areWellFormed(MessageHeaders message) {
        for (Header header : message.getHeaders()) {
            if (!isWellFormed(header)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the name of a field is a token and its value has no control characters. */
    static boolean isWellFormed(Header header) {
        return isToken(header.getName()) && (header.getValue() == null || isFieldText(header.getValue()));
    }

    /**
     * Returns whether a text consists of bytes that may stand within a line of a head, one for each character: no control
     * character but the tab.
     */
    static boolean isFieldText(String text) {
        for (int i = 0; i < text.length(); i++) {
            char each = text.charAt(i);
            if (each < ' ' && each != '\t' || each == 0x7f || each > 0xff) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a value consists of digits; HttpCore also takes a sign for the start of a length. */
    static boolean isDigits(String value) {
        return value != null && !value.isEmpty() && value.chars().allMatch(each -> each >= '0' && each <= '9');
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
}
