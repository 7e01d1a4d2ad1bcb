/** Sockets with deadlines, used towards callers and upstreams. */
package org.cranberrybend.router.io;
