"""Read and validate templates, pipelines and endpoints."""
