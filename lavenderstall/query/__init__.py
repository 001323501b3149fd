"""Query and command language of operators."""
