/** HTTP/1.1 on Netty channels; messages are parsed, framed and formatted by HttpCore. */
package org.cranberrybend.entry.http;
