/** Sockets with read deadlines for connections to callers and upstreams. */
package org.cranberrybend.router.io;
