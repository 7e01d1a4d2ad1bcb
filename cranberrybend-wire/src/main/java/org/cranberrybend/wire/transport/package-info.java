/** Transport of peer messages over TCP. */
package org.cranberrybend.wire.transport;
