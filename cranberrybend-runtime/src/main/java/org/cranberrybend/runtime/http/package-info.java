/** Blocking HTTP servers and clients for JSON APIs, based on HttpCore. */
package org.cranberrybend.runtime.http;
