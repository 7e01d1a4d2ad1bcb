/** Authentication of requests by API key. */
package org.cranberrybend.router.authenticate;
