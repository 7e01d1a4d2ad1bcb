/** Accepting callers' connections and receiving their requests. */
package org.cranberrybend.router.accept;
