/** Who a request is from, and whether it may be served. */
package org.cranberrybend.router.authenticate;
