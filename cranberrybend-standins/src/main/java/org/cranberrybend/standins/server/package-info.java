/** HTTP server of the stand-ins, with control over single connections. */
package org.cranberrybend.standins.server;
