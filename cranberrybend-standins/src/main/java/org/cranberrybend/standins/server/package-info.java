/** HTTP server, request log and fault injection shared by the stand-ins. */
package org.cranberrybend.standins.server;
