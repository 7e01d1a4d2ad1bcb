/** Where a request may be sent. */
package org.cranberrybend.router.route;
