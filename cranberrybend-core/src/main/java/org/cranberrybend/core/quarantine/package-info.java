/** Finds prompt parts that crash the engines which answer them, and decides how long requests with them are refused. */
package org.cranberrybend.core.quarantine;
