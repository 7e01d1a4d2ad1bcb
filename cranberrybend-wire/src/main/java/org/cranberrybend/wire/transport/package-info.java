/** Sending and receiving of peer messages. */
package org.cranberrybend.wire.transport;
