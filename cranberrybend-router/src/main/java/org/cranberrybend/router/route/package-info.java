/** Selection of the availability zones that may serve a request. */
package org.cranberrybend.router.route;
