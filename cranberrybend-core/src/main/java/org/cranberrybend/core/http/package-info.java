/** Syntax of HTTP/1.1 messages, as far as the parsers of libraries accept more than the standard allows. */
package org.cranberrybend.core.http;
