/** What a client account may send: bodies, classes and limits. */
package org.cranberrybend.router.admit;
